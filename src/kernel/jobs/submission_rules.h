/** \file
 * Rejects submitted jobs that can never run.
 */
#pragma once

#include <memory>

#include "kernel/base/error.h"
#include "kernel/jobs/guarantee_ledger.h"
#include "kernel/jobs/placement_policy.h"
#include "kernel/model/document.h"
#include "kernel/model/job.h"

namespace eelgrass {

/** Longest checkpoint that an urgent job waits for when it reclaims its guarantee. */
inline constexpr millis kUrgentCheckpoint{1500};

/**
 * Whether a job of the class may run outside its organisation's guarantee. A borrower can be
 * stopped at any time, so a job that must not run twice may borrow only if it can write a
 * checkpoint within kUrgentCheckpoint.
 */
bool MayBorrow(const job_class& kind);

/**
 * Checks jobs against the capacity that the document declares, not against the connected workers.
 * Declared racks that are out of service count, since they return.
 */
class submission_rules {
 public:
  explicit submission_rules(std::shared_ptr<const document> doc);

  /** Fails with the reason if the job can never run. */
  result<void> Check(const job_spec& spec) const;

 private:
  /**
   * Largest number of the shape's tasks that fit in one adjacency group: on whole workers if
   * `guarantee_owner` is empty, else within the guarantee of that organisation.
   */
  int MostTasks(const gang_shape& shape, std::string_view guarantee_owner) const;

  std::shared_ptr<const document> document_;
  std::vector<ledger_worker> workers_;
  guarantee_ledger ledger_;
};

}  // namespace eelgrass
