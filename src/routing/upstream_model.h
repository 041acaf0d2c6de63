#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>

#include "admission/length_model.h"
#include "admission/slot_owner.h"
#include "base/clock.h"
#include "routing/choice.h"

namespace dandelion::routing {

/// A generation that this daemon has on an upstream.
struct OwnGeneration {
  admission::LengthGroup group;
  int64_t prompt_tokens = 0;
  int64_t made = 0;
  /// Known beforehand; 0 if it must be predicted.
  int64_t output_tokens = 0;
};

/// What this daemon has learned of one upstream: its speed, its failures, the
/// prefixes it has probably cached, and the predicted memory of this daemon's
/// own generations there.
class UpstreamModel {
 public:
  /// After this many failures in a row the circuit opens.
  static constexpr int kFailuresToOpen = 3;
  static constexpr base::Millis kProbeInterval{1000};

  /// Adds a generation; `key` is the caller's own.
  void Add(uint64_t key,
           OwnGeneration generation,
           const admission::LengthModel& lengths);
  /// Adds a generation whose length is known beforehand.
  void AddKnown(uint64_t key, int64_t prompt_tokens, int64_t output_tokens);
  void MadeToken(uint64_t key, int64_t made);
  void Remove(uint64_t key);
  /// Predicts anew from what the generations have made since.
  void Refresh(const admission::LengthModel& lengths);

  void ObserveGap(double ms);
  void ObserveFirstToken(double ms, int64_t computed_tokens);
  void ObserveSuccess();
  void ObserveFailure(base::Millis now);

  /// Whether the circuit lets a request through; a probe is let through from
  /// time to time.
  bool CircuitOpen(base::Millis now) const;

  void UsePrefix(uint64_t prefix, int64_t tokens);
  bool HasPrefix(uint64_t prefix) const;

  const admission::Occupancy& occupancy() const { return sum_; }
  double token_ms() const { return token_ms_; }
  double first_token_ms() const { return first_token_ms_; }

 private:
  struct Entry {
    OwnGeneration generation;
    admission::Occupancy share;
  };
  static constexpr size_t kPrefixes = 64;

  std::unordered_map<uint64_t, Entry> generations_;
  admission::Occupancy sum_;
  double token_ms_ = 30;
  double first_token_ms_ = 60;
  int failures_ = 0;
  base::Millis failed_at_;
  std::list<uint64_t> prefixes_;
};

}  // namespace dandelion::routing
