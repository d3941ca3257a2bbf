/** \file
 * Decides whether an entry takes a job at the present load.
 */
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/model/batch_config.h"
#include "kernel/model/batch_job.h"
#include "kernel/model/load_forecast.h"
#include "kernel/sharing/recent_ids.h"

namespace eelgrass {

/** A job as handed in, with the id from its call. */
struct submitted_job {
  std::string_view id;
  const batch_job& job;
};

/** A job that cannot end while it is of value, with what shows it. */
struct job_rejection {
  std::string job;
  std::string queue;
  std::string organisation;
  int64_t term = 0;  // of the forecast
  bool wide = false;
  millis wait{0};  // as forecast, less the forecast's age
  millis age{0};   // of the forecast
  millis chain{0};
  millis objective{0};
  millis excess{0};  // by which the wait is too long
};

/**
 * Answers the load of more jobs than can end in time: whoever hands in one that cannot hears so at
 * once, and the workers' time goes to jobs that can. Any doubt lets a job in: a forecast that is
 * missing, old, from an earlier term or unsound, and a store that did not answer lately, as an
 * insertion by another entry may then still be carried out. Without a forecast nobody is rejected.
 */
class job_admission {
 public:
  job_admission();

  /** Takes a forecast in unless it is unsound, or older than the present one. */
  void On(const load_forecast& forecast, millis now);

  /** The newest term known to the entry; forecasts of earlier ones do not apply. */
  void OnTerm(int64_t term);

  /** A call to the store had no answer. */
  void OnStoreUnanswered(millis now) { store_unanswered_ = now; }

  /** An insertion of this job had no answer: it may be stored or may become so. */
  void RememberUnknown(std::string_view job, millis now);

  /** Why the job has to be rejected; none: it is taken. */
  std::optional<job_rejection> Judge(const submitted_job& submitted, const batch_queue& queue,
                                     const batch_organisation* owner, millis now) const;

  /** Records a rejection and returns the time after which the caller should try again. */
  millis Reject(const job_rejection& rejection, millis now);

  /** Age of the forecast; none: there is none of the newest term. */
  std::optional<millis> Age(millis now) const;

  /** The forecasts of the queues as long as they apply. */
  std::span<const queue_forecast> queues(millis now) const;

  int64_t rejected() const { return rejections_; }
  int64_t refused_forecasts() const { return refused_forecasts_; }
  size_t remembered() const { return rejected_.size() + unknown_.size(); }

 private:
  bool IsGuaranteed(const batch_job& job, const batch_queue& queue,
                    const batch_organisation* owner) const;

  load_forecast forecast_;
  millis least_offset_{0};  // entry's clock less the planner's, of the fastest message of the term
  int64_t newest_term_ = 0;
  millis store_unanswered_{INT64_MIN / 4};
  millis unknown_overflow_{INT64_MIN / 4};  // when an unknown outcome was last forgotten early
  recent_ids rejected_;
  recent_ids unknown_;
  int64_t rejections_ = 0;
  int64_t refused_forecasts_ = 0;
};

}  // namespace eelgrass
