/** \file
 * What is logged while a story runs.
 */
#pragma once

#include <memory>
#include <string>

namespace eelgrass {

/**
 * Collects the log lines of all threads while it exists. The logging library stays out: it has a
 * CHECK of its own.
 */
class line_collector {
 public:
  line_collector();
  ~line_collector();
  line_collector(const line_collector&) = delete;
  line_collector& operator=(const line_collector&) = delete;

  /** All lines so far, each ended by a line feed. */
  std::string text() const;

 private:
  class sink;
  std::unique_ptr<sink> sink_;
};

}  // namespace eelgrass
