#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <utility>
#include <vector>

namespace dandelion::standin {

/// Speed and capacity of a modelled engine. Times are in milliseconds.
struct EngineParams {
  double step_base_ms = 10;
  double step_per_sequence_ms = 0.25;
  double step_per_kilotoken_ms = 0.1;
  double prefill_per_kilotoken_ms = 30;
  /// Largest number of prompt tokens that one step processes.
  int64_t prefill_chunk_tokens = 512;
  /// Size of the KV cache.
  int64_t memory_tokens = 40'000;
  /// Allocation unit of the KV cache.
  int64_t block_tokens = 16;
  /// Largest number of generations that run at the same time.
  int64_t slots = 32;
  /// Largest number of running and waiting generations while cold; one more
  /// crashes the engine.
  int64_t cold_slots = 2;
  double warming_ms = 4000;
  /// Factor by which steps take longer while cold.
  double cold_slowdown = 3;
  double restart_ms = 500;
  int64_t prefix_cache_tokens = 20'000;
};

/// A generation that is submitted to the engine.
struct EngineJob {
  uint64_t key = 0;
  int64_t prompt_tokens = 0;
  /// Identifies the first `prefix_tokens` of the prompt, which prompts with the
  /// same value share; 0 if the prompt shares nothing.
  uint64_t prefix = 0;
  int64_t prefix_tokens = 0;
  int64_t output_tokens = 1;
  /// Lower values are started first and preempted last.
  int priority = 0;
};

/// Load and state of an engine. Memory is in tokens.
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

/// Simulates an engine with continuous batching. The duration of a step grows
/// with the batch size and the memory in use. Memory is allocated in blocks;
/// when it is exhausted, generations are preempted and recomputed later. A
/// prefix cache saves prefill. After a start the engine is cold: it is slower,
/// and crashes when it gets more than `cold_slots` generations.
///
/// The caller supplies the time.
class EngineModel {
 public:
  enum class SubmitResult { kAccepted, kStarting, kCrashed };

  struct Hooks {
    std::function<void(uint64_t key, int64_t index, double time_ms)> on_token;
    std::function<void(uint64_t key, double time_ms)> on_done;
    /// A generation was lost because the engine crashed or restarted.
    std::function<void(uint64_t key, double time_ms)> on_lost;
  };

  EngineModel(EngineParams params, Hooks hooks);

  /// Queues a generation. Returns kStarting while the engine starts, and
  /// kCrashed if the submission crashed a cold engine, which then restarts.
  SubmitResult Submit(const EngineJob& job, double now_ms);
  /// Removes a running or waiting generation without calling a hook.
  void Cancel(uint64_t key);
  /// Completes every step that ends at `now_ms` or before.
  void Advance(double now_ms);
  /// Time at which the current step ends; negative if nothing runs.
  double NextStepEnd() const;

  /// Drops all generations and starts a new incarnation, which accepts work
  /// after `restart_ms` and is cold for `warming_ms` from then on.
  void Restart(double now_ms);
  /// Makes the engine cold for `warming_ms` and keeps its incarnation.
  void MakeCold(double now_ms);
  /// Changes the memory size. A smaller size takes effect on running
  /// generations at the end of the current step.
  void SetMemory(int64_t tokens) { params_.memory_tokens = tokens; }

  bool IsCold(double now_ms) const { return now_ms < warm_at_ms_; }
  EngineLoad GetLoad(double now_ms) const;
  const EngineParams& params() const { return params_; }

 private:
  struct Sequence {
    EngineJob job;
    int64_t generated_tokens = 0;
    /// Context tokens that are not yet in the KV cache.
    int64_t prefill_tokens_left = 0;
    /// Higher for sequences that were admitted later.
    uint64_t admission_number = 0;
  };

  /// Context size, rounded up to whole blocks.
  int64_t AllocatedTokens(const Sequence& sequence) const;
  void StartStep(double now_ms);
  void Admit();
  void PreemptUntilMemoryFits();
  void EndStep();
  void ApplyPrefixCache(Sequence& sequence);
  void DropAll(double now_ms);

  EngineParams params_;
  Hooks hooks_;
  std::vector<Sequence> running_;
  std::list<Sequence> waiting_;
  /// Prefixes and their sizes in tokens, most recently used first.
  std::list<std::pair<uint64_t, int64_t>> prefix_cache_;
  double step_end_ms_ = -1;
  double warm_at_ms_ = 0;
  double started_at_ms_ = 0;
  uint64_t incarnation_ = 1;
  uint64_t last_admission_ = 0;
  int64_t used_tokens_ = 0;
  int64_t preemptions_ = 0;
  int64_t recomputed_tokens_ = 0;
  int64_t completed_ = 0;
};

}  // namespace dandelion::standin
