/** \file
 * Which jobs can never run.
 */
#pragma once

#include <memory>

#include "kernel/base/error.h"
#include "kernel/jobs/guarantee_ledger.h"
#include "kernel/jobs/placement_policy.h"
#include "kernel/model/document.h"
#include "kernel/model/job.h"

namespace eelgrass {

/** Longest checkpoint that urgent work waits for when it reclaims a guarantee. */
inline constexpr millis kUrgentCheckpoint{1500};

/**
 * Whether a job of the class may run outside its organisation's guarantee. One that must not run
 * twice has to be able to save itself within the time that urgent work waits, since a borrower can
 * be told to leave at any moment.
 */
bool MayBorrow(const job_class& kind);

/**
 * Judges jobs by what the document declares, not by who happens to be connected. Declared racks
 * that are out count, since they come back.
 */
class submission_rules {
 public:
  explicit submission_rules(std::shared_ptr<const document> doc);

  /** Fails with the reason when the job can never run. */
  result<void> Check(const job_spec& spec) const;

 private:
  /** Most tasks of the shape that fit together, on whole workers or on an owner's guarantee. */
  int MostTasks(const gang_shape& shape, std::string_view guarantee_owner) const;

  std::shared_ptr<const document> document_;
  std::vector<ledger_worker> workers_;
  guarantee_ledger ledger_;
};

}  // namespace eelgrass
