/** \file
 * What the platform says of the VMs that workers run on.
 */
#pragma once

#include <string>
#include <vector>

#include "kernel/base/millis.h"

namespace eelgrass {

/** Whether anything can run on a VM. While one moves or has its upkeep, nothing does. */
enum class vm_state { kUp, kMoving, kUpkeep, kDown, kUnknown };

/** One VM of the platform. */
struct vm_record {
  std::string vm;
  vm_state state = vm_state::kUnknown;
  std::string worker;  // id of the worker whose life it carries; empty: none
};

/** Asks for all VMs. */
struct vm_listing_request {
  millis at{0};  // of the asking process; comes back with the answer
};

/**
 * All VMs at one time after the request, or that there was no whole answer. Entries that could not
 * be read are only counted: who is missing may be in one of them.
 */
struct vm_listing {
  millis requested{0};  // when it was asked for
  bool answered = false;
  std::vector<vm_record> vms;
  int unreadable = 0;  // further entries, of which nothing is known
};

}  // namespace eelgrass
