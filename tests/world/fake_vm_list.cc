#include "tests/world/fake_vm_list.h"

namespace eelgrass {

vm_listing fake_vm_list::List(const vm_listing_request& request, bool reachable,
                              std::span<const vm_record> vms) {
  ++lists_;
  vm_listing listing;
  listing.requested = request.at;
  listing.answered = answers_ && reachable;
  if (!listing.answered) return listing;
  int index = 0;
  for (const auto& vm : vms) {
    const auto hidden = hidden_.find(index++);
    if (hidden == hidden_.end() || hidden->second <= 0) {
      listing.vms.push_back(vm);
      continue;
    }
    --hidden->second;
    if (unreadable_) ++listing.unreadable;
  }
  return listing;
}

}  // namespace eelgrass
