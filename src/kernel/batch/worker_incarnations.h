/** \file
 * The incarnations of workers on an agent's VM.
 */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/batch/worker_controller.h"

namespace eelgrass {

/**
 * Keeps a controller for each present incarnation, at most one per id and address, and one for each
 * candidate: an incarnation whose heartbeat conflicts with a present one. A heartbeat may be
 * outdated and start times are wall-clock times, so neither shows which one is later. A candidate
 * replaces the present incarnation once it has answered a call that was sent after the present
 * one's last answer.
 */
class worker_incarnations {
 public:
  using controllers = std::map<std::string, worker_controller, std::less<>>;  // by the worker's id

  void On(const worker_heartbeat& heartbeat, millis now);
  void On(const worker_departure& departed, millis now);
  void On(const hold_answer& answer, millis now);

  /** Follows a new planner: every incarnation has to confirm its fence. */
  void SetTerm(int64_t term, millis now);

  /** Appends the calls that are due. */
  void Tick(millis now, std::vector<worker_call>& calls);

  /** The present incarnation of a worker; null: none. */
  worker_controller* Find(std::string_view worker);
  controllers& present() { return present_; }

  /** Removes and returns the incarnations that have certainly ended. */
  std::vector<worker_identity> TakeEnded();

 private:
  worker_controller* FindCandidate(const worker_identity& incarnation);
  bool HasNoConflict(const worker_profile& worker) const;
  void AddCandidate(const worker_heartbeat& heartbeat, millis now);
  void EvaluateCandidate(const worker_identity& incarnation, millis now);
  void MakePresent(worker_controller incarnation);
  void DropCandidate(const worker_identity& incarnation, std::string_view reason, millis now);
  int64_t HighestNumber(std::string_view worker) const;
  void NoteRemoved(const worker_controller& controller);
  void FenceCandidate(worker_controller& candidate, millis now);

  controllers present_;
  std::vector<worker_controller> candidates_;
  std::vector<worker_identity> ended_incarnations_;
  std::map<std::string, int64_t, std::less<>> removed_;  // highest number in this term, by id
  std::optional<millis> earlier_calls_until_;  // of a former process; none: no heartbeat yet
  int64_t term_ = 0;
};

}  // namespace eelgrass
