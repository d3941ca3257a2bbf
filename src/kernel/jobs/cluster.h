/** \file
 * The workers and what runs on them, as a planner knows it.
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

/** One worker. */
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
  resources borrowed;  // used by borrowers
  std::map<std::string, resources, std::less<>> own_by_organisation;
  std::map<std::string, resources, std::less<>> jobs;  // what each job uses here

  resources free() const { return capacity - own - borrowed; }
};

/** What a job occupies. */
struct allocation {
  std::string organisation;
  std::vector<gang_member> members;
  bool borrowing = false;
};

/** Table of workers with the allocations of all started and planned jobs. */
class cluster {
 public:
  worker_state& MarkConnected(const hello& peer);
  void ApplyAnnouncement(std::string_view worker, const announce& offer);
  worker_state* Find(std::string_view worker);
  const worker_state* Find(std::string_view worker) const;

  void Allocate(std::string_view job, allocation what);
  void Free(std::string_view job);
  const allocation* FindAllocation(std::string_view job) const;

  const std::map<std::string, worker_state, std::less<>>& workers() const { return workers_; }
  std::map<std::string, worker_state, std::less<>>& workers() { return workers_; }
  const std::map<std::string, allocation, std::less<>>& allocations() const { return allocations_; }

  /** What the organisation's jobs use within its guarantee on a worker. */
  resources OwnUsage(std::string_view organisation, std::string_view worker) const;

  /** All that the organisation's jobs use. */
  resources Usage(std::string_view organisation) const;

  /** Capacity of all workers that have announced themselves. */
  resources capacity() const;

  /** Forgets workers without allocations that have been gone for longer than `keep`. */
  void Expire(millis now, millis keep);

 private:
  void Apply(std::string_view job, const allocation& what, int sign);

  std::map<std::string, worker_state, std::less<>> workers_;
  std::map<std::string, allocation, std::less<>> allocations_;
  std::map<std::string, resources, std::less<>> usage_;
};

}  // namespace eelgrass
