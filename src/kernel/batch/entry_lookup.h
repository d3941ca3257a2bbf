/** \file
 * When an agent that misses the planner looks for entries.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kernel/batch/entry_table_reader.h"

namespace eelgrass {

/** Asks for the settings to be read again. */
struct reload_seeds {};

/**
 * An agent that misses the planner for longer than a takeover takes reads the entries from the
 * store's table and the seeds from its settings. Neither source needs the other: the settings may
 * be stale, and the store may be silent or refuse. All agents may lose their entries at once, so
 * each waits for a time of its own, and longer after each reading.
 */
class entry_lookup {
 public:
  /** `agent`: id of this agent, from which its waits are derived. */
  explicit entry_lookup(std::string agent) : agent_(std::move(agent)) {}

  /** `missing_since`: since when the planner is missing; none: it is connected. */
  void Update(std::optional<millis> missing_since, millis now);

  /** The call to the store that is due, if any. */
  std::optional<store_request> NextCall(millis now);

  /** The request to read the settings again, if it is due. */
  std::optional<reload_seeds> NextReload(millis now);

  /** Handles the store's answer. Returns the listed addresses once all are read. */
  std::optional<std::vector<std::string>> On(const rows_result& answer, millis now);

  /** Readings since the start that are complete, and that failed. */
  int64_t completed() const { return completed_; }
  int64_t failed() const { return failed_; }

 private:
  millis Spread(millis most) const;
  void EndReading(millis now);

  const std::string agent_;
  entry_table_reader table_;
  bool missing_ = false;
  bool call_pending_ = false;
  bool reading_ = false;  // some rows of this reading are there
  int64_t readings_ = 0;  // since the start; makes each wait a different one
  int64_t tries_ = 0;     // since the planner is missing
  millis next_reading_{0};
  millis next_reload_{0};
  int64_t completed_ = 0;
  int64_t failed_ = 0;
};

}  // namespace eelgrass
