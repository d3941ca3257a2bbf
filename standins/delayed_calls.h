/** \file
 * Calls that are made later, for stand-ins that take time.
 */
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "kernel/base/clock.h"

namespace eelgrass {

/** One thread that sleeps until the next call is due. */
class delayed_calls {
 public:
  explicit delayed_calls(const clock& time);
  ~delayed_calls();
  delayed_calls(const delayed_calls&) = delete;
  delayed_calls& operator=(const delayed_calls&) = delete;

  void After(millis delay, std::function<void()> call);

 private:
  void Run();

  const clock& clock_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<millis, std::function<void()>> calls_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace eelgrass
