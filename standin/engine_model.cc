#include "standin/engine_model.h"

#include <algorithm>
#include <utility>

namespace dandelion::standin {

EngineModel::EngineModel(EngineParams params, Hooks hooks)
    : params_(params), hooks_(std::move(hooks)) {}

EngineModel::SubmitResult EngineModel::Submit(const EngineJob& job,
                                              double now_ms) {
  Advance(now_ms);
  if (now_ms < started_at_ms_) {
    return SubmitResult::kStarting;
  }
  const auto in_flight =
      static_cast<int64_t>(running_.size() + waiting_.size());
  if (IsCold(now_ms) && in_flight + 1 > params_.cold_slots) {
    Restart(now_ms);
    return SubmitResult::kCrashed;
  }
  Sequence sequence;
  sequence.job = job;
  sequence.prefill_tokens_left = job.prompt_tokens;
  const auto position = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const Sequence& s) { return s.job.priority > job.priority; });
  waiting_.insert(position, sequence);
  if (step_end_ms_ < 0) {
    StartStep(now_ms);
  }
  return SubmitResult::kAccepted;
}

void EngineModel::Cancel(uint64_t key) {
  const auto has_key = [key](const Sequence& s) { return s.job.key == key; };
  for (auto it = running_.begin(); it != running_.end(); ++it) {
    if (has_key(*it)) {
      used_tokens_ -= AllocatedTokens(*it);
      running_.erase(it);
      return;
    }
  }
  waiting_.remove_if(has_key);
}

void EngineModel::Advance(double now_ms) {
  while (step_end_ms_ >= 0 && step_end_ms_ <= now_ms) {
    const double end = step_end_ms_;
    EndStep();
    // A hook may have submitted a job, which starts the next step.
    if (step_end_ms_ < 0) {
      StartStep(end);
    }
  }
}

double EngineModel::NextStepEnd() const {
  return step_end_ms_;
}

void EngineModel::Restart(double now_ms) {
  DropAll(now_ms);
  ++incarnation_;
  prefix_cache_.clear();
  started_at_ms_ = now_ms + params_.restart_ms;
  warm_at_ms_ = started_at_ms_ + params_.warming_ms;
}

void EngineModel::MakeCold(double now_ms) {
  warm_at_ms_ = now_ms + params_.warming_ms;
}

EngineLoad EngineModel::GetLoad(double now_ms) const {
  EngineLoad load;
  load.incarnation = incarnation_;
  load.running = static_cast<int64_t>(running_.size());
  load.waiting = static_cast<int64_t>(waiting_.size());
  load.memory_used = used_tokens_;
  load.memory_total = params_.memory_tokens;
  load.preemptions = preemptions_;
  load.recomputed_tokens = recomputed_tokens_;
  load.completed = completed_;
  load.cold = IsCold(now_ms);
  load.down = now_ms < started_at_ms_;
  return load;
}

int64_t EngineModel::AllocatedTokens(const Sequence& sequence) const {
  const int64_t context =
      sequence.job.prompt_tokens + sequence.generated_tokens;
  const int64_t blocks =
      (context + params_.block_tokens - 1) / params_.block_tokens;
  return blocks * params_.block_tokens;
}

void EngineModel::StartStep(double now_ms) {
  Admit();
  if (running_.empty()) {
    step_end_ms_ = -1;
    return;
  }
  int64_t budget = params_.prefill_chunk_tokens;
  int64_t prefilled = 0;
  for (Sequence& sequence : running_) {
    const int64_t chunk = std::min(budget, sequence.prefill_tokens_left);
    sequence.prefill_tokens_left -= chunk;
    budget -= chunk;
    prefilled += chunk;
  }
  constexpr double kTokensPerKilotoken = 1000;
  double step = params_.step_base_ms;
  step += params_.step_per_sequence_ms * static_cast<double>(running_.size());
  step += params_.step_per_kilotoken_ms * static_cast<double>(used_tokens_) /
          kTokensPerKilotoken;
  step += params_.prefill_per_kilotoken_ms * static_cast<double>(prefilled) /
          kTokensPerKilotoken;
  if (IsCold(now_ms)) {
    step *= params_.cold_slowdown;
  }
  step_end_ms_ = now_ms + step;
}

void EngineModel::Admit() {
  while (!waiting_.empty() &&
         static_cast<int64_t>(running_.size()) < params_.slots) {
    Sequence& next = waiting_.front();
    const int64_t blocks = AllocatedTokens(next);
    const bool fits = used_tokens_ + blocks <= params_.memory_tokens;
    // A sequence larger than the whole memory runs alone; otherwise it would
    // wait forever.
    if (!fits && !running_.empty()) {
      return;
    }
    ApplyPrefixCache(next);
    next.admission_number = ++last_admission_;
    used_tokens_ += blocks;
    running_.push_back(next);
    waiting_.pop_front();
  }
}

void EngineModel::ApplyPrefixCache(Sequence& sequence) {
  const EngineJob& job = sequence.job;
  if (job.prefix == 0) {
    return;
  }
  const auto cached = std::find_if(
      prefix_cache_.begin(), prefix_cache_.end(),
      [&](const auto& entry) { return entry.first == job.prefix; });
  if (cached != prefix_cache_.end()) {
    sequence.prefill_tokens_left =
        std::max<int64_t>(0, sequence.prefill_tokens_left - cached->second);
    prefix_cache_.splice(prefix_cache_.begin(), prefix_cache_, cached);
    return;
  }
  prefix_cache_.emplace_front(job.prefix, job.prefix_tokens);
  int64_t total = 0;
  for (const auto& entry : prefix_cache_) {
    total += entry.second;
  }
  while (total > params_.prefix_cache_tokens && !prefix_cache_.empty()) {
    total -= prefix_cache_.back().second;
    prefix_cache_.pop_back();
  }
}

void EngineModel::PreemptUntilMemoryFits() {
  while (used_tokens_ > params_.memory_tokens && running_.size() > 1) {
    const auto victim = std::max_element(
        running_.begin(), running_.end(),
        [](const Sequence& a, const Sequence& b) {
          return std::pair(a.job.priority, a.admission_number) <
                 std::pair(b.job.priority, b.admission_number);
        });
    used_tokens_ -= AllocatedTokens(*victim);
    victim->prefill_tokens_left =
        victim->job.prompt_tokens + victim->generated_tokens;
    recomputed_tokens_ += victim->prefill_tokens_left;
    ++preemptions_;
    waiting_.push_front(*victim);
    running_.erase(victim);
  }
}

void EngineModel::EndStep() {
  const double end = step_end_ms_;
  std::vector<uint64_t> done;
  for (Sequence& sequence : running_) {
    if (sequence.prefill_tokens_left > 0) {
      continue;
    }
    used_tokens_ -= AllocatedTokens(sequence);
    ++sequence.generated_tokens;
    used_tokens_ += AllocatedTokens(sequence);
    hooks_.on_token(sequence.job.key, sequence.generated_tokens - 1, end);
    if (sequence.generated_tokens >= sequence.job.output_tokens) {
      done.push_back(sequence.job.key);
    }
  }
  for (const uint64_t key : done) {
    Cancel(key);
    ++completed_;
  }
  PreemptUntilMemoryFits();
  step_end_ms_ = -1;
  for (const uint64_t key : done) {
    hooks_.on_done(key, end);
  }
}

void EngineModel::DropAll(double now_ms) {
  std::vector<uint64_t> lost;
  for (const Sequence& sequence : running_) {
    lost.push_back(sequence.job.key);
  }
  for (const Sequence& sequence : waiting_) {
    lost.push_back(sequence.job.key);
  }
  running_.clear();
  waiting_.clear();
  used_tokens_ = 0;
  step_end_ms_ = -1;
  for (const uint64_t key : lost) {
    hooks_.on_lost(key, now_ms);
  }
}

}  // namespace dandelion::standin
