#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <utility>
#include <vector>

namespace dandelion::standin {

/// Speed and sizes of one modelled engine. Times are in milliseconds.
struct EngineParams {
  double step_base_ms = 10;
  double step_per_sequence_ms = 0.25;
  double step_per_kilotoken_ms = 0.1;
  double prefill_per_kilotoken_ms = 30;
  /// Prompt tokens that one step may compute at most.
  int64_t prefill_chunk_tokens = 512;
  int64_t memory_tokens = 40'000;
  int64_t block_tokens = 16;
  int64_t slots = 32;
  int64_t cold_slots = 2;
  double warming_ms = 4000;
  double cold_slowdown = 3;
  double restart_ms = 500;
  int64_t prefix_cache_tokens = 20'000;
};

/// One generation as the engine sees it.
struct EngineJob {
  uint64_t key = 0;
  int64_t prompt_tokens = 0;
  /// Prompts of one prefix share their first `prefix_tokens`; 0 has none.
  uint64_t prefix = 0;
  int64_t prefix_tokens = 0;
  int64_t output_tokens = 1;
  /// Lower values are started first and preempted last.
  int priority = 0;
};

/// What an engine says of itself.
struct EngineLoad {
  uint64_t incarnation = 1;
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t memory_used = 0;
  int64_t memory_total = 0;
  int64_t preemptions = 0;
  int64_t recomputed_tokens = 0;
  int64_t completed = 0;
  bool cold = false;
  bool down = false;
};

/// A model of a continuously batching engine: decode steps whose time grows
/// with batch and context, memory in blocks, preemption by recomputation, a
/// prefix cache, and a cold phase in which it falls over above its limit.
/// It is driven on a set clock.
class EngineModel {
 public:
  enum class Submitted { kAccepted, kDown, kFellOver };

  struct Hooks {
    std::function<void(uint64_t key, int64_t index, double time_ms)> on_token;
    std::function<void(uint64_t key, double time_ms)> on_done;
    /// The engine lost a generation by falling over or dying.
    std::function<void(uint64_t key, double time_ms)> on_lost;
  };

  EngineModel(EngineParams params, Hooks hooks);

  Submitted Submit(const EngineJob& job, double now_ms);
  void Cancel(uint64_t key);
  /// Runs every step that ends at `now_ms` or before.
  void Advance(double now_ms);
  /// When the step in progress ends; negative if nothing runs.
  double NextStepEnd() const;

  /// Loses all generations and starts anew, cold, after the restart time.
  void Restart(double now_ms);
  /// Turns cold again under the same incarnation.
  void TurnCold(double now_ms);
  /// Shrinks or grows the memory.
  void SetMemory(int64_t tokens) { params_.memory_tokens = tokens; }

  bool Cold(double now_ms) const { return now_ms < warm_at_ms_; }
  EngineLoad Load(double now_ms) const;
  const EngineParams& params() const { return params_; }

 private:
  struct Sequence {
    EngineJob job;
    int64_t made = 0;
    /// Context tokens whose attention state must still be computed.
    int64_t to_prefill = 0;
    uint64_t started = 0;
  };

  int64_t Blocks(const Sequence& sequence) const;
  void StartStep(double now_ms);
  void Admit();
  void PreemptUntilFits();
  void EndStep();
  void UsePrefix(Sequence& sequence);
  void LoseAll(double now_ms);

  EngineParams params_;
  Hooks hooks_;
  std::vector<Sequence> running_;
  std::list<Sequence> waiting_;
  std::list<std::pair<uint64_t, int64_t>> prefixes_;
  double step_end_ms_ = -1;
  double warm_at_ms_ = 0;
  double up_at_ms_ = 0;
  uint64_t incarnation_ = 1;
  uint64_t starts_ = 0;
  int64_t used_tokens_ = 0;
  int64_t preemptions_ = 0;
  int64_t recomputed_tokens_ = 0;
  int64_t completed_ = 0;
};

}  // namespace dandelion::standin
