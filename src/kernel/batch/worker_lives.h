/** \file
 * Which lives of workers are present beside an agent.
 */
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/batch/worker_steward.h"

namespace eelgrass {

/**
 * Keeps a steward for each present life, one for an id and an address, and one for each life that
 * a heartbeat has announced in the place of a present one. A heartbeat may be an old one and births
 * are times of day: the announced life is asked, and takes the place only once it has answered a
 * call that was sent after the present one's last answer.
 */
class worker_lives {
 public:
  using stewards = std::map<std::string, worker_steward, std::less<>>;  // by the worker's id

  void On(const worker_beat& beat, millis now);
  void On(const worker_left& left, millis now);
  void On(const hold_answer& answer, millis now);

  /** A new planner: every life has to confirm its fence. */
  void SetTerm(int64_t term, millis now);

  /** The calls to make now. */
  void Tick(millis now, std::vector<worker_call>& calls);

  /** The present life of a worker; null: none. */
  worker_steward* Find(std::string_view worker);
  stewards& present() { return present_; }

  /** Lives that have certainly ended, each once. */
  std::vector<worker_identity> TakeGone();

 private:
  worker_steward* FindAnnounced(const worker_identity& life);
  bool HasPlace(const worker_profile& worker) const;
  void Announce(const worker_beat& beat, millis now);
  void Judge(const worker_identity& life, millis now);
  void Settle(worker_steward life);
  void Drop(const worker_identity& life, std::string_view reason);

  stewards present_;
  std::vector<worker_steward> announced_;
  std::vector<worker_identity> gone_;
  int64_t term_ = 0;
};

}  // namespace eelgrass
