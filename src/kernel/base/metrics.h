/** \file
 * Counters and distributions of a process, shown as Prometheus text.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace eelgrass {

class distribution;

/** All metrics of a process. Safe to use from every duty. */
class metrics {
 public:
  metrics();
  ~metrics();

  /** Adds to a counter. The name may carry labels: requests_total{outcome="completed"}. */
  void Count(std::string_view name, int64_t by = 1);

  /** Sets a gauge. */
  void Set(std::string_view name, int64_t value);

  /** Records a value, such as a latency in milliseconds. */
  void Record(std::string_view name, double value);

  int64_t count(std::string_view name) const;

  /** The Prometheus text exposition of everything. */
  std::string Text() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int64_t, std::less<>> values_;
  std::map<std::string, std::unique_ptr<distribution>, std::less<>> distributions_;
};

}  // namespace eelgrass
