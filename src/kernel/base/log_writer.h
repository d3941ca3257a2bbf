/** \file
 * Writes log lines to standard output without ever holding up the thread that logs.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "kernel/base/bounded_ring.h"

namespace eelgrass {

/**
 * A thread with a bounded ring of lines. When the ring is full, or more lines come than a second
 * may have, lines are dropped and counted; the count is written as soon as there is room.
 */
class log_writer {
 public:
  /** Writes to a file descriptor, which stays open. */
  explicit log_writer(int descriptor);
  ~log_writer();
  log_writer(const log_writer&) = delete;
  log_writer& operator=(const log_writer&) = delete;

  /** Takes a line without its end; never blocks. */
  void Offer(std::string line);

  /** Writes what is left, as far as the reader takes it, and joins the thread. */
  void Stop();

  int64_t dropped() const { return dropped_total_; }

 private:
  void Run();
  void Write(std::string_view text);
  void Drop(std::string_view text);

  const int descriptor_;
  bounded_ring<std::string> ring_;
  std::atomic<int64_t> dropped_{0};  // not yet told
  std::atomic<int64_t> dropped_total_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace eelgrass
