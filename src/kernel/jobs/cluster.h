/** \file
 * A planner's view of the workers and of the jobs on them.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/jobs/guarantee_ledger.h"
#include "kernel/model/job.h"
#include "kernel/model/messages.h"

namespace eelgrass {

/** Identity, capacity and usage of one worker. */
struct worker_state {
  std::string id;
  int64_t incarnation = 0;
  std::string address;
  std::string domain;
  std::string rack;
  std::string region;
  resources capacity;
  bool connected = false;
  bool leaving = false;
  millis disconnected_at{0};
  resources own;       // used within guarantees
  resources borrowed;  // used by borrowing jobs
  std::map<std::string, resources, std::less<>> own_by_organisation;
  std::map<std::string, resources, std::less<>> jobs;  // amount that each job uses on this worker

  resources free() const { return capacity - own - borrowed; }
};

/** The worker capacity that a job occupies. */
struct allocation {
  std::string organisation;
  std::vector<gang_member> members;
  bool borrowing = false;
};

/** Workers with the allocations of all started and planned jobs. */
class cluster {
 public:
  worker_state& MarkConnected(const hello& peer);
  void ApplyAnnouncement(std::string_view worker, const announce& announcement);
  worker_state* Find(std::string_view worker);
  const worker_state* Find(std::string_view worker) const;

  void Allocate(std::string_view job, allocation what);
  void Free(std::string_view job);
  const allocation* FindAllocation(std::string_view job) const;

  const std::map<std::string, worker_state, std::less<>>& workers() const { return workers_; }
  std::map<std::string, worker_state, std::less<>>& workers() { return workers_; }
  const std::map<std::string, allocation, std::less<>>& allocations() const { return allocations_; }

  /** Returns the amount that the organisation's jobs use within its guarantee on a worker. */
  resources OwnUsage(std::string_view organisation, std::string_view worker) const;

  /** Returns the total that the organisation's jobs use, borrowed capacity included. */
  resources Usage(std::string_view organisation) const;

  /** Total capacity of all workers that have sent an announcement. */
  resources capacity() const;

  /** Removes workers without allocations that were disconnected for longer than `keep`. */
  void Expire(millis now, millis keep);

 private:
  void Apply(std::string_view job, const allocation& what, int sign);

  std::map<std::string, worker_state, std::less<>> workers_;
  std::map<std::string, allocation, std::less<>> allocations_;
  std::map<std::string, resources, std::less<>> usage_;
};

}  // namespace eelgrass
