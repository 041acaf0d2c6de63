#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>

#include "admission/length_model.h"
#include "admission/slot_owner.h"
#include "base/clock.h"
#include "routing/slot_choice.h"

namespace dandelion::routing {

/// A generation that this daemon runs on an upstream.
struct OwnGeneration {
  /// Predicts the output length.
  admission::LengthGroup group;
  int64_t prompt_tokens = 0;
  /// Output tokens so far.
  int64_t generated_tokens = 0;
  /// Output length if known in advance; 0 if it must be predicted.
  int64_t output_tokens = 0;
};

/// What this daemon has learned of one upstream: its speed, its failures, the
/// prompt prefixes that it has probably cached, and the predicted memory of
/// this daemon's own generations on it.
class UpstreamModel {
 public:
  /// Consecutive failures that open the circuit.
  static constexpr int kFailuresToOpen = 3;
  /// Time from the last failure until an open circuit lets requests through.
  static constexpr base::Millis kProbeInterval{1000};

  /// Adds a generation and predicts its memory. `key` is chosen by the caller
  /// and must be unique among the upstream's generations.
  void Add(uint64_t key,
           OwnGeneration generation,
           const admission::LengthModel& lengths);
  /// Adds a generation whose output length is known in advance.
  void AddWithKnownLength(uint64_t key,
                          int64_t prompt_tokens,
                          int64_t output_tokens);
  /// Sets how many output tokens a generation has; `occupancy` follows at the
  /// next `Refresh`. Does nothing for an unknown `key`.
  void SetGeneratedTokens(uint64_t key, int64_t generated_tokens);
  /// Removes a generation; does nothing for an unknown `key`.
  void Remove(uint64_t key);
  /// Predicts the memory of all generations again from their present lengths.
  void Refresh(const admission::LengthModel& lengths);

  /// Records the time between two tokens.
  void ObserveTokenInterval(double ms);
  /// Records the time to the first token. An assumed time per processed prompt
  /// token is subtracted before it enters the average.
  void ObserveFirstToken(double ms, int64_t prefill_tokens);
  /// Records a success, which closes the circuit.
  void ObserveSuccess();
  void ObserveFailure(base::Millis now);

  /// Whether the circuit blocks requests: after `kFailuresToOpen` consecutive
  /// failures, for `kProbeInterval` from the last one.
  bool IsCircuitOpen(base::Millis now) const;

  /// Records that a prompt with this prefix hash was sent to the upstream; 0
  /// is ignored. Only the `kMaxPrefixes` latest prefixes are kept.
  void RecordPrefix(uint64_t prefix, int64_t tokens);
  /// Whether the upstream has probably cached the prefix; false for 0.
  bool HasPrefix(uint64_t prefix) const;

  /// Predicted memory of this daemon's generations.
  const admission::Occupancy& occupancy() const { return total_occupancy_; }
  /// Average time between two tokens.
  double token_ms() const { return token_ms_; }
  /// Average time to the first token, less that for processing the prompt.
  double first_token_ms() const { return first_token_ms_; }

 private:
  struct Entry {
    OwnGeneration generation;
    /// The generation's part of `total_occupancy_`.
    admission::Occupancy contribution;
  };
  static constexpr size_t kMaxPrefixes = 64;

  std::unordered_map<uint64_t, Entry> generations_;
  admission::Occupancy total_occupancy_;
  double token_ms_ = 30;
  double first_token_ms_ = 60;
  int consecutive_failures_ = 0;
  base::Millis last_failure_at_;
  /// Prefix hashes, the most recently used first.
  std::list<uint64_t> prefixes_;
};

}  // namespace dandelion::routing
