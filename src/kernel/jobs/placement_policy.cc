#include "kernel/jobs/placement_policy.h"

namespace eelgrass {

std::string_view GroupOf(const worker_room& room, adjacency within) {
  switch (within) {
    case adjacency::kWorker:
      return room.worker;
    case adjacency::kRack:
      return room.rack;
    case adjacency::kDomain:
      return room.domain;
    case adjacency::kRegion:
      return room.region;
    case adjacency::kAny:
      return {};
  }
  return {};
}

}  // namespace eelgrass
