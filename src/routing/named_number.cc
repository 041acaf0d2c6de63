#include "routing/named_number.h"

namespace dandelion::routing {

using base::Millis;

bool NamedNumber::TakeAnswer(std::optional<double> number, Millis now) {
  const bool still_holds = number_ && now - *said_at_ < kHold;
  if (number || (number_ && !still_holds)) {
    return Set(number, now);
  }
  return false;
}

bool NamedNumber::TakeShared(std::optional<double> number, Millis said_at) {
  const bool is_newer = !said_at_ || said_at > *said_at_;
  return (number || number_) && is_newer && Set(number, said_at);
}

std::optional<double> NamedNumber::InForce(Millis now) const {
  return number_ && now - *said_at_ <= kLifetime ? number_ : std::nullopt;
}

Millis NamedNumber::AgeAt(Millis now) const {
  return said_at_ ? now - *said_at_ : kLifetime;
}

bool NamedNumber::Set(std::optional<double> number, Millis said_at) {
  said_at_ = said_at;
  if (number_ == number) {
    return false;
  }
  number_ = number;
  return true;
}

}  // namespace dandelion::routing
