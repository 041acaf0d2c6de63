#pragma once

#include <algorithm>
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

/// Returns an age that another process told, in milliseconds. It is at least 0,
/// so that nothing comes from the future, and at most a day.
constexpr Millis AgeFromPeer(int64_t ms) {
  constexpr int64_t kMaxAgeMs = INT64_C(24) * 60 * 60 * 1000;
  return Millis(std::clamp<int64_t>(ms, 0, kMaxAgeMs));
}

/// Returns milliseconds since the Unix epoch, by the host's own clock.
int64_t UnixNowMs();

/// A monotonic clock with a replaceable source, so that tests can set the time.
/// Its values are meaningful on one host only; never compare them across hosts.
class Clock {
 public:
  using Source = std::function<Millis()>;

  explicit Clock(Source source) : source_(std::move(source)) {}

  /// The host's monotonic clock, which stops while the host is suspended.
  static Clock Monotonic();
  /// Like `Monotonic`, but also counts the time during which the host is
  /// suspended. Use it for the age of data that another process may revoke in
  /// the meantime.
  static Clock BootTime();

  Millis Now() const { return source_(); }

 private:
  Source source_;
};

}  // namespace dandelion::base
