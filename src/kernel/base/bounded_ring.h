/** \file
 * The bounded queue that joins duties.
 */
#pragma once

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "kernel/base/millis.h"

namespace eelgrass {

/** Counters of one ring since its start. */
struct ring_stats {
  size_t capacity = 0;     // items
  size_t depth = 0;        // items now
  size_t max_depth = 0;    // items
  uint64_t accepted = 0;   // items
  uint64_t rejected = 0;   // items refused because the ring was full or closed
  uint64_t waited_ms = 0;  // total time that items spent in the ring
};

/**
 * A queue of fixed capacity with several producers and one consumer. A producer is told when the
 * ring is full and decides what that means; nothing is dropped silently. The consumer blocks on a
 * condition variable and never spins.
 */
template <typename T>
class bounded_ring {
 public:
  explicit bounded_ring(size_t capacity) : slots_(capacity) {}

  /** Adds an item. False, leaving it with the caller, when the ring is full or closed. */
  bool TryPush(T&& item) {
    {
      std::lock_guard lock(mutex_);
      if (closed_ || count_ == slots_.size()) {
        ++rejected_;
        return false;
      }
      Put(std::move(item));
    }
    not_empty_.notify_one();
    return true;
  }

  /** Waits until there is room. False when the ring has been closed. */
  bool Push(T&& item) {
    {
      std::unique_lock lock(mutex_);
      not_full_.wait(lock, [this] { return closed_ || count_ < slots_.size(); });
      if (closed_) {
        ++rejected_;
        return false;
      }
      Put(std::move(item));
    }
    not_empty_.notify_one();
    return true;
  }

  /**
   * Moves up to `most` items to the end of `out`, waiting for the first one up to `timeout`.
   * Returns false once the ring is closed and empty.
   */
  bool PopBatch(std::vector<T>& out, size_t most, millis timeout) {
    std::unique_lock lock(mutex_);
    not_empty_.wait_for(lock, std::chrono::milliseconds(std::max<int64_t>(0, timeout.count())),
                        [this] { return closed_ || count_ > 0; });
    const size_t taken = std::min(most, count_);
    for (size_t i = 0; i < taken; ++i) Take(out);
    const bool open = !closed_ || taken > 0 || count_ > 0;
    lock.unlock();
    if (taken > 0) not_full_.notify_all();
    return open;
  }

  /** Refuses further items and wakes everybody. Items already in the ring can still be taken. */
  void Close() {
    {
      std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_empty_.notify_all();
    not_full_.notify_all();
  }

  ring_stats stats() const {
    std::lock_guard lock(mutex_);
    return {slots_.size(), count_, max_depth_, accepted_, rejected_, waited_ms_};
  }

 private:
  using steady = std::chrono::steady_clock;

  struct slot {
    std::optional<T> item;
    steady::time_point since;
  };

  void Put(T&& item) {
    slot& target = slots_[(head_ + count_) % slots_.size()];
    target.item.emplace(std::move(item));
    target.since = steady::now();
    ++count_;
    ++accepted_;
    max_depth_ = std::max(max_depth_, count_);
  }

  void Take(std::vector<T>& out) {
    slot& source = slots_[head_];
    const auto waited = steady::now() - source.since;
    waited_ms_ += std::chrono::duration_cast<std::chrono::milliseconds>(waited).count();
    out.push_back(std::move(*source.item));
    source.item.reset();
    head_ = (head_ + 1) % slots_.size();
    --count_;
  }

  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  std::vector<slot> slots_;
  size_t head_ = 0;
  size_t count_ = 0;
  size_t max_depth_ = 0;
  uint64_t accepted_ = 0;
  uint64_t rejected_ = 0;
  uint64_t waited_ms_ = 0;
  bool closed_ = false;
};

}  // namespace eelgrass
