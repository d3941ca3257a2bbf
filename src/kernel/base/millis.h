/** \file
 * The product's one time type: a count of milliseconds, used for instants and durations alike.
 */
#pragma once

#include <compare>
#include <cstdint>

namespace eelgrass {

/**
 * A signed number of milliseconds. An instant is the time since the origin of the clock that
 * produced it; instants of different processes are never compared.
 */
class millis {
 public:
  constexpr millis() = default;
  constexpr explicit millis(int64_t count) : count_(count) {}

  constexpr int64_t count() const { return count_; }

  constexpr auto operator<=>(const millis&) const = default;
  constexpr millis operator+(millis other) const { return millis(count_ + other.count_); }
  constexpr millis operator-(millis other) const { return millis(count_ - other.count_); }
  constexpr millis operator*(int64_t factor) const { return millis(count_ * factor); }
  constexpr millis operator/(int64_t divisor) const { return millis(count_ / divisor); }
  constexpr millis& operator+=(millis other) {
    count_ += other.count_;
    return *this;
  }

 private:
  int64_t count_ = 0;
};

/** An instant later than any that a clock returns. */
inline constexpr millis kFarFuture{INT64_MAX / 4};

namespace literals {
constexpr millis operator""_ms(unsigned long long count) {
  return millis(static_cast<int64_t>(count));
}
constexpr millis operator""_s(unsigned long long count) {
  return millis(static_cast<int64_t>(count) * 1000);
}
constexpr millis operator""_min(unsigned long long count) {
  return millis(static_cast<int64_t>(count) * 60000);
}
}  // namespace literals

}  // namespace eelgrass
