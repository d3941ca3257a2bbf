/** \file
 * Detects workers that have certainly ended.
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
 * Derives from the pool, the stored workers and the platform's list of VMs which workers have
 * certainly ended and therefore run nothing. The caller has to remove them.
 */
class lost_worker_detector {
 public:
  lost_worker_detector(const worker_pool& pool, const planner_journal& journal)
      : pool_(pool), journal_(journal) {}

  /** Discards everything known from earlier terms. */
  void BeginTerm(millis now);

  /**
   * Workers that have ended because `newest` has their address. To be called when its lists under
   * this term have just been applied.
   */
  std::vector<std::string> ReplacedBy(const pool_worker& newest);

  /**
   * Workers that are no longer reported and can run nothing. The term was certainly held at
   * `confirmed`.
   */
  std::vector<std::string> Unreported(millis now, millis confirmed) const;

  /** Handles a report with the worker's lists. */
  void OnWorkerReported(std::string_view worker) { departure_detector_.OnWorkerReported(worker); }

  /** The request for the list of VMs that is due, if a worker with runs is silent. */
  std::optional<vm_listing_request> Next(millis now);

  /** Workers that a list of VMs proves to have ended. */
  std::vector<std::string> On(const vm_listing& listing);

 private:
  bool IsReplaced(const worker_record& stored, const worker_profile& newest) const;
  std::vector<silent_worker> SilentWorkers(millis now) const;

  const worker_pool& pool_;
  const planner_journal& journal_;
  departure_detector departure_detector_;
  std::map<std::string, std::set<std::string>, std::less<>> listed_by_address_;  // worker ids
  millis term_began_{0};
};

}  // namespace eelgrass
