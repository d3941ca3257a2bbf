/** \file
 * Predicts how long jobs wait until they begin.
 */
#pragma once

#include <map>
#include <optional>
#include <string>

#include "kernel/model/load_forecast.h"
#include "kernel/placement/planning_view.h"

namespace eelgrass {

/** What a queue's forecast was computed from, for the log. Work is in worker-milliseconds. */
struct queue_inputs {
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t units = 0;  // waiting
  int64_t milli_workers = 0;
};

/**
 * Answers the load of callers who together hand in more work than the workers can do in time. For
 * each queue it divides the work of equal or more urgent priority by the capacity of the queue's
 * service. Jobs wait only if the waiting units need more than what is free; otherwise the forecast
 * is 0 and nothing is published. Where something has to be assumed, the lower wait is.
 */
class load_forecaster {
 public:
  /** The forecast, without its term, if it has to be published now. */
  std::optional<load_forecast> Next(const planning_view& view);

  /** The present forecast. */
  load_forecast Forecast(const planning_view& view);

 private:
  bool Changed(const load_forecast& forecast) const;

  std::optional<millis> computed_;
  std::optional<millis> sent_at_;
  std::map<std::string, queue_forecast> sent_;  // by queue
  std::map<std::string, queue_inputs> inputs_;  // of the present forecast, by queue
};

}  // namespace eelgrass
