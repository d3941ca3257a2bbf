/** \file
 * A thread with a bounded ring in front of it.
 */
#pragma once

#include <pthread.h>

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "kernel/base/bounded_ring.h"
#include "kernel/base/clock.h"
#include "kernel/base/duty_handler.h"
#include "kernel/base/event_sink.h"

namespace eelgrass {

/** Sizes and pace of a duty. */
struct duty_options {
  std::string name;          // at most 15 characters, shown by ps -L
  size_t ring_capacity = 0;  // items
  size_t batch = 64;         // items handled at once
  millis tick{100};          // longest time between two calls of the handler
};

/** Runs a handler on a thread of its own until stopped. What is in the ring then is handled. */
template <typename Event>
class duty : public event_sink<Event> {
 public:
  duty(duty_options options, const clock& time, duty_handler<Event>& handler)
      : options_(std::move(options)),
        clock_(time),
        handler_(handler),
        ring_(options_.ring_capacity) {}

  ~duty() override { Stop(); }
  duty(const duty&) = delete;
  duty& operator=(const duty&) = delete;

  void Start() {
    thread_ = std::thread([this] { Run(); });
    pthread_setname_np(thread_.native_handle(), options_.name.c_str());
  }

  /** Closes the ring, handles what is left and joins the thread. */
  void Stop() {
    ring_.Close();
    if (thread_.joinable()) thread_.join();
  }

  bool Offer(Event&& event) override { return ring_.TryPush(std::move(event)); }
  bool Deliver(Event&& event) override { return ring_.Push(std::move(event)); }

  const std::string& name() const { return options_.name; }
  ring_stats stats() const { return ring_.stats(); }

 private:
  void Run() {
    std::vector<Event> batch;
    millis next_tick = clock_.Now();
    while (true) {
      const millis wait = next_tick - clock_.Now();
      if (!ring_.PopBatch(batch, options_.batch, wait)) return;
      const millis now = clock_.Now();
      if (batch.empty() && now < next_tick) continue;
      handler_.Handle(batch, now);
      batch.clear();
      if (now >= next_tick) next_tick = now + options_.tick;
    }
  }

  const duty_options options_;
  const clock& clock_;
  duty_handler<Event>& handler_;
  bounded_ring<Event> ring_;
  std::thread thread_;
};

}  // namespace eelgrass
