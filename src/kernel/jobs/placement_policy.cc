#include "kernel/jobs/placement_policy.h"

namespace eelgrass {

std::string_view GroupOf(const available_worker& worker, adjacency within) {
  switch (within) {
    case adjacency::kWorker:
      return worker.worker;
    case adjacency::kRack:
      return worker.rack;
    case adjacency::kDomain:
      return worker.domain;
    case adjacency::kRegion:
      return worker.region;
    case adjacency::kAny:
      return {};
  }
  return {};
}

}  // namespace eelgrass
