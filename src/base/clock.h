#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <utility>

namespace dandelion::base {

/// A duration, or a time since an arbitrary start, in whole milliseconds.
class Millis {
 public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t count) : count_(count) {}

  constexpr int64_t count() const { return count_; }
  constexpr double seconds() const { return static_cast<double>(count_) / 1e3; }

  constexpr Millis operator+(Millis other) const {
    return Millis(count_ + other.count_);
  }
  constexpr Millis operator-(Millis other) const {
    return Millis(count_ - other.count_);
  }
  constexpr Millis operator*(int64_t factor) const {
    return Millis(count_ * factor);
  }
  constexpr auto operator<=>(const Millis&) const = default;

 private:
  int64_t count_ = 0;
};

/// A monotonic clock. Decisions take their time from here, so that tests can
/// set it. Times of two hosts are never compared.
class Clock {
 public:
  using Source = std::function<Millis()>;

  explicit Clock(Source source) : source_(std::move(source)) {}

  /// The host's monotonic clock. It stands still while the host is suspended.
  static Clock Monotonic();
  /// Like `Monotonic`, but it counts the time of a suspension too. The age of a
  /// fact that somebody else may revoke is taken by this clock.
  static Clock BootTime();

  Millis Now() const { return source_(); }

 private:
  Source source_;
};

}  // namespace dandelion::base
