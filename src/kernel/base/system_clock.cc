#include "kernel/base/system_clock.h"

#include <ctime>

namespace eelgrass {
namespace {

constexpr int64_t kMillisPerSecond = 1000;
constexpr int64_t kNanosPerMilli = 1000000;

millis Read(clockid_t id) {
  timespec now{};
  clock_gettime(id, &now);
  return millis(now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli);
}

}  // namespace

millis system_clock::Now() const { return Read(CLOCK_BOOTTIME); }

millis system_clock::WallNow() const { return Read(CLOCK_REALTIME); }

}  // namespace eelgrass
