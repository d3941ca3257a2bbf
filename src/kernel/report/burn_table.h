/** \file
 * Good and bad outcomes over time, for service-level objectives.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/model/document.h"

namespace eelgrass {

/** One outcome that counts towards an objective. */
struct burn_sample {
  std::string organisation;
  std::string service;  // service or job class
  bool good = false;
  millis latency{0};
  std::string step;  // where a bad outcome arose
  std::string peer;
};

/** Counts of one organisation and service in one stretch of time. */
struct burn_counts {
  int64_t good = 0;
  int64_t bad = 0;
};

/** Everything about one organisation and service. */
struct burn_series {
  std::map<int64_t, burn_counts> minutes;  // by wall minute; by hour once older than 6 h
  std::map<std::string, int64_t> causes;   // "step peer" to bad outcomes
};

using burn_key = std::pair<std::string, std::string>;  // organisation, service

/** Outcomes of the last three days. Tables of several processes are joined by adding them. */
class burn_table {
 public:
  void Add(const burn_sample& sample, millis wall_now);
  void Add(const burn_table& other);

  /** Joins minutes into hours and forgets what is older than three days. */
  void Compact(millis wall_now);

  const std::map<burn_key, burn_series>& series() const { return series_; }
  std::map<burn_key, burn_series>& series() { return series_; }

 private:
  std::map<burn_key, burn_series> series_;
};

/** Burn over one window: 1 uses the budget up exactly by the end of the objective's period. */
struct burn_window {
  std::string name;
  int64_t good = 0;
  int64_t bad = 0;
  double rate = 0;
};

/** One objective for one organisation. */
struct burn_line {
  std::string organisation;
  std::string service;
  double target = 0;
  std::vector<burn_window> windows;                     // 5m, 1h, 6h, 3d
  double budget_left = 1;                               // share; below 0 when overspent
  std::string alert;                                    // "page", "ticket" or empty
  std::vector<std::pair<std::string, int64_t>> causes;  // worst first
  std::vector<double> hourly;                           // burn rate by hour, oldest first
};

/** The whole report. */
struct burn_report {
  int64_t at_ms = 0;  // wall time
  std::vector<burn_line> lines;
};

/** The burn of every objective of the document. */
burn_report MakeBurnReport(const burn_table& table, const document& doc, millis wall_now);

/** Whether an outcome of this latency is good by the document's objectives. */
bool WithinObjective(const document& doc, const std::string& service, millis latency);

}  // namespace eelgrass
