/** \file
 * Which lives of workers are present beside an agent.
 */
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/batch/worker_controller.h"

namespace eelgrass {

/**
 * Keeps a steward for each present life, one for an id and an address, and one for each life that
 * a heartbeat has announced in the place of a present one. A heartbeat may be an old one and births
 * are times of day: the announced life is asked, and takes the place only once it has answered a
 * call that was sent after the present one's last answer.
 */
class worker_incarnations {
 public:
  using controllers = std::map<std::string, worker_controller, std::less<>>;  // by the worker's id

  void On(const worker_heartbeat& heartbeat, millis now);
  void On(const worker_departure& departed, millis now);
  void On(const hold_answer& answer, millis now);

  /** A new planner: every life has to confirm its fence. */
  void SetTerm(int64_t term, millis now);

  /** The calls to make now. */
  void Tick(millis now, std::vector<worker_call>& calls);

  /** The present life of a worker; null: none. */
  worker_controller* Find(std::string_view worker);
  controllers& present() { return present_; }

  /** Lives that have certainly ended, each once. */
  std::vector<worker_identity> TakeEnded();

 private:
  worker_controller* FindCandidate(const worker_identity& incarnation);
  bool HasNoConflict(const worker_profile& worker) const;
  void AddCandidate(const worker_heartbeat& heartbeat, millis now);
  void EvaluateCandidate(const worker_identity& incarnation, millis now);
  void MakePresent(worker_controller incarnation);
  void DropCandidate(const worker_identity& incarnation, std::string_view reason);

  controllers present_;
  std::vector<worker_controller> candidates_;
  std::vector<worker_identity> ended_incarnations_;
  int64_t term_ = 0;
};

}  // namespace eelgrass
