/** \file
 * Structured log lines: an event name and key=value fields, written by glog.
 */
#pragma once

#include <string>
#include <string_view>

namespace eelgrass {

/** Severity of a line. */
enum class log_level { kInfo, kWarning, kError };

/** Collects the fields of one line and writes it when destroyed. Values are quoted if needed. */
class log_event {
 public:
  explicit log_event(std::string_view name, log_level level = log_level::kInfo);
  ~log_event();
  log_event(const log_event&) = delete;
  log_event& operator=(const log_event&) = delete;

  log_event& With(std::string_view key, std::string_view value);
  log_event& With(std::string_view key, int64_t value);

 private:
  log_level level_;
  std::string line_;
};

/** Starts glog for a program: lines go to standard error. */
void StartLogging(const char* program);

/**
 * Starts glog for a program: lines go to standard output through a thread of their own, so that a
 * reader that does not read holds up nobody.
 */
void StartLoggingToOutput(const char* program);

/** Writes what is left. Call it when all other threads have ended. */
void StopLoggingToOutput();

}  // namespace eelgrass
