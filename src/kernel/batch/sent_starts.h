/** \file
 * The starts that one agent process has sent to workers.
 */
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/batch/worker_calls.h"

namespace eelgrass {

/**
 * Tracks which starts may still be carried out. A call names a worker's id and no incarnation, and
 * without an answer it may be carried out later, by any incarnation under that id that has not
 * confirmed a higher fence. The calls are therefore kept by id, across terms and incarnations.
 */
class sent_starts {
 public:
  void OnSent(const start_call& call, millis now);
  void On(const start_answer& answer, millis now);

  /** A run that is listed was started by one of its calls. */
  void On(const hold_answer& answer);

  /** The starts under a worker's id that may still be carried out. */
  std::vector<unanswered_start> Unanswered(std::string_view worker, millis now);

  /** Those under all ids, also of workers that have left. */
  std::vector<worker_open_starts> Unanswered(millis now);

 private:
  struct sent_call {
    int64_t fence = 0;
    millis at{0};  // it was sent no later than this, once it is not pending
    bool pending = true;
  };
  struct sent_run {
    std::vector<sent_call> calls;  // without an answer
    bool answered = false;         // a call was answered as done
    bool listed = false;
  };
  using run_key = std::pair<std::string, run_ref>;  // the worker's id and the run

  static millis LatestSending(const sent_run& run, millis now);
  sent_run* Find(std::string_view worker, const run_ref& run);

  std::map<run_key, sent_run> runs_;
};

}  // namespace eelgrass
