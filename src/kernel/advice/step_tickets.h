/** \file
 * The tickets that each step has for workers.
 */
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "kernel/advice/advice_messages.h"
#include "kernel/batch/worker_pool.h"

namespace eelgrass {

/**
 * Keeps the service's answers by step and incarnation of a worker. Which workers may run a step
 * does not change, so that a refusal is asked about again only after a long time, and an expired
 * ticket still shows that the worker is allowed.
 */
class step_tickets {
 public:
  /** The worker's ticket for a unit's step; nullptr if there is no valid one. */
  const std::string* Valid(const unit_ref& unit, const worker_identity& worker, millis now) const;

  /** Whether the worker may not run the unit's step. */
  bool Refused(const unit_ref& unit, const worker_identity& worker, millis now) const;

  /** Whether the worker may run the unit's step; its ticket may have expired. */
  bool Allowed(const unit_ref& unit, const worker_identity& worker) const;

  /** Whether the service has ever been asked about the worker for the unit's step. */
  bool Known(const unit_ref& unit, const worker_identity& worker) const {
    return Find(unit, worker) != nullptr;
  }

  void Allow(const unit_ref& unit, const worker_identity& worker, std::string_view text,
             millis until);
  void Refuse(const unit_ref& unit, const worker_identity& worker, millis now);

  /** Forgets a ticket that the worker did not accept. */
  void Discard(const unit_ref& unit, std::string_view worker);

  /** Keeps the steps of open jobs, and of these the tickets for present workers. */
  void Retain(const job_table& jobs, const worker_pool& pool);

 private:
  struct ticket {
    std::string text;  // empty: the worker may not run the step
    int64_t born_ms = 0;
    millis good_until{0};
  };
  using tickets_by_worker = std::map<std::string, ticket, std::less<>>;

  /** The entry for this incarnation of the worker, valid or not; nullptr if there is none. */
  const ticket* Find(const unit_ref& unit, const worker_identity& worker) const;

  std::map<step_key, tickets_by_worker, std::less<>> steps_;
};

}  // namespace eelgrass
