#pragma once

#include <optional>

#include "base/clock.h"

namespace dandelion::routing {

/// A number that an upstream names in all its answers for as long as it holds.
class NamedNumber {
 public:
  /// The number ends with an answer that does not name it. Answers overtake
  /// each other, so one that follows so soon after the last that did is
  /// ignored.
  static constexpr base::Millis kHold{1000};
  /// A number that no answer has confirmed for this long has ended.
  static constexpr base::Millis kLifetime{30'000};

  /// Takes what an answer names. Returns whether the number has changed.
  bool TakeAnswer(std::optional<double> number, base::Millis now);
  /// Takes what a peer knows, if that is newer. Returns whether the number has
  /// changed.
  bool TakeShared(std::optional<double> number, base::Millis said_at);

  /// The number that was last named, if it has not ended since.
  const std::optional<double>& number() const { return number_; }
  /// The number that binds now.
  std::optional<double> InForce(base::Millis now) const;
  /// Whether the upstream has ever named one.
  bool is_known() const { return said_at_.has_value(); }
  /// How long ago the upstream named the number, or answered without it; its
  /// whole lifetime if it never has.
  base::Millis AgeAt(base::Millis now) const;

 private:
  bool Set(std::optional<double> number, base::Millis said_at);

  std::optional<double> number_;
  std::optional<base::Millis> said_at_;
};

}  // namespace dandelion::routing
