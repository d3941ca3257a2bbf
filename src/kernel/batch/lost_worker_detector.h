/** \file
 * Which workers a planner takes for lost.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/batch/departure_detector.h"
#include "kernel/batch/planner_journal.h"
#include "kernel/batch/worker_pool.h"

namespace eelgrass {

/**
 * Judges from the pool, the stored workers and the platform's list of VMs which workers have
 * certainly ended, so that nothing runs there any more. Whoever asks forgets them.
 */
class lost_worker_detector {
 public:
  lost_worker_detector(const worker_pool& pool, const planner_journal& journal)
      : pool_(pool), journal_(journal) {}

  /** A new term: nothing is known of earlier ones. */
  void BeginTerm(millis now);

  /**
   * Workers that have ended, since another one has their address: its lists under this term have
   * just been taken.
   */
  std::vector<std::string> ReplacedBy(const pool_worker& newest);

  /**
   * Workers that are not reported any more, and have nothing that could run. The term was certainly
   * held at `confirmed`.
   */
  std::vector<std::string> Unreported(millis now, millis confirmed) const;

  /** A worker has just listed what it runs. */
  void OnWorkerReported(std::string_view worker) { departure_detector_.OnWorkerReported(worker); }

  /** The list of VMs to ask for now, if a worker with runs is silent. */
  std::optional<vm_listing_request> Next(millis now);

  /** Workers that a list of VMs proves to be gone. */
  std::vector<std::string> On(const vm_listing& listing);

 private:
  bool IsReplaced(const worker_record& stored, const worker_profile& newest) const;
  std::vector<silent_worker> SilentWorkers(millis now) const;

  const worker_pool& pool_;
  const planner_journal& journal_;
  departure_detector departure_detector_;
  std::map<std::string, std::set<std::string>, std::less<>>
      listed_by_address_;  // workers, by address
  millis term_began_{0};
};

}  // namespace eelgrass
