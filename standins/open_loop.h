/** \file
 * An open-loop request generator.
 */
#pragma once

#include <condition_variable>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "kernel/base/clock.h"
#include "kernel/io/http_client.h"
#include "standins/outcome_check.h"

namespace eelgrass {

/** What to send. */
struct load_options {
  std::vector<std::string> urls;    // bases, used in turn by `url_weights`
  std::vector<int> url_weights;     // empty: equal
  std::vector<std::string> tokens;  // used in turn
  std::string path;
  int requests = 0;
  double rate = 0;             // a second, in all
  int idempotent_percent = 0;  // GET; the others are POST
  int keyed_percent = 0;       // of the POSTs, with an idempotency key
  int64_t deadline_ms = 10000;
  uint64_t seed = 1;
  std::string prefix = "r";  // of the request ids
};

/** What came back. */
struct load_result {
  std::vector<told_outcome> told;
  std::vector<double> latencies_ms;  // of completed requests, from the intended start
  int late = 0;                      // completed after the deadline
  double seconds = 0;

  double Quantile(double q) const;
};

/**
 * Sends at random times of a Poisson process that do not depend on the answers, and measures from
 * the intended time of sending.
 */
class open_loop {
 public:
  open_loop(load_options options, http_client& client);

  load_result Run();

 private:
  struct sample {
    told_outcome told;
    double latency_ms = 0;
  };

  http_call MakeCall(int index);
  void OnDone(int index, double started, result<http_response> reply);
  static double NowMs();

  const load_options options_;
  http_client& client_;
  std::mt19937_64 random_;
  std::vector<size_t> schedule_;  // of urls
  std::mutex mutex_;
  std::condition_variable done_;
  std::vector<sample> samples_;
  int left_ = 0;
};

}  // namespace eelgrass
