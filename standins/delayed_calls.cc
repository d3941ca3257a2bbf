#include "standins/delayed_calls.h"

#include <algorithm>
#include <chrono>

namespace eelgrass {
namespace {
constexpr millis kLongestSleep{1000};
}

delayed_calls::delayed_calls(const clock& time) : clock_(time), thread_([this] { Run(); }) {}

delayed_calls::~delayed_calls() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void delayed_calls::After(millis delay, std::function<void()> call) {
  {
    std::lock_guard lock(mutex_);
    calls_.emplace(clock_.Now() + delay, std::move(call));
  }
  changed_.notify_all();
}

void delayed_calls::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const millis now = clock_.Now();
    if (!calls_.empty() && calls_.begin()->first <= now) {
      const auto call = std::move(calls_.begin()->second);
      calls_.erase(calls_.begin());
      lock.unlock();
      call();
      lock.lock();
      continue;
    }
    const millis next = calls_.empty() ? now + kLongestSleep : calls_.begin()->first;
    const millis sleep = std::min(kLongestSleep, next - now);
    changed_.wait_for(lock, std::chrono::milliseconds(sleep.count()));
  }
}

}  // namespace eelgrass
