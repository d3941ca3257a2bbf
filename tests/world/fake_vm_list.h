/** \file
 * The platform's list of VMs.
 */
#pragma once

#include <map>
#include <span>

#include "kernel/model/vm_listing.h"

namespace eelgrass {

/** Lists the VMs, or leaves some out, or does not answer. */
class fake_vm_list {
 public:
  /** It answers from the start. */
  void SetAnswers(bool answers) { answers_ = answers; }

  /** The next so many lists do not hold a VM: it changes its place between two pages. */
  void Hide(int index, int lists) { hidden_[index] = lists; }

  /** The entries of VMs that are left out can be seen, but not read. */
  void SetUnreadable(bool unreadable) { unreadable_ = unreadable; }

  /** `vms` are all there are, by their index. */
  vm_listing List(const vm_listing_request& request, bool reachable,
                  std::span<const vm_record> vms);

  int lists() const { return lists_; }

 private:
  bool answers_ = true;
  bool unreadable_ = false;
  std::map<int, int> hidden_;  // lists to come, by VM
  int lists_ = 0;
};

}  // namespace eelgrass
