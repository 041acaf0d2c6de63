#include "admission/part_quarantine.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace dandelion::admission {
namespace {

using base::HostId;
using base::Millis;
using base::PartId;
using base::UpstreamId;

bool Contains(const PartList& parts, const PartId& part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

bool ContainsAll(const PartList& parts, const PartList& wanted) {
  return std::all_of(
      wanted.begin(), wanted.end(),
      [&parts](const PartId& part) { return Contains(parts, part); });
}

bool SameParts(const PartList& left, const PartList& right) {
  return ContainsAll(left, right) && ContainsAll(right, left);
}

bool IsUsable(const PartId& part) {
  return !part.empty() && part.value().size() <= PartQuarantine::kMaxPartLength;
}

PartList Without(const PartList& parts, const PartId& part) {
  PartList rest;
  std::remove_copy(parts.begin(), parts.end(), std::back_inserter(rest), part);
  return rest;
}

/// Returns the elements of `all` that are not in `removed`.
std::set<size_t> Difference(const std::set<size_t>& all,
                            const std::set<size_t>& removed) {
  std::set<size_t> rest;
  std::set_difference(all.begin(), all.end(), removed.begin(), removed.end(),
                      std::inserter(rest, rest.end()));
  return rest;
}

bool BrokeLate(const CrashedRequests::value_type& request) {
  return request.second == BreakStage::kContentSent;
}

bool BrokeOnlyLate(const CrashedRequests& requests) {
  return std::all_of(requests.begin(), requests.end(), BrokeLate);
}

/// Limits an age that a peer sent.
Millis CheckedAge(Millis age) {
  return std::clamp(age, Millis(0), PartQuarantine::kQuarantineMemory);
}

}  // namespace

PartQuarantine::PartQuarantine(HostId self, Hooks hooks)
    : self_(std::move(self)), hooks_(std::move(hooks)) {}

bool PartQuarantine::IsProvenAt(const PartId& part, Millis at) const {
  const auto proof = proofs_.find(part);
  return proof != proofs_.end() && at < proof->second.sound_at + kProofTime;
}

PartList PartQuarantine::UnprovenOf(const PartList& parts, Millis at) const {
  PartList unproven;
  for (const PartId& part : parts) {
    if (unproven.size() < kMaxPartsPerRequest && IsUsable(part) &&
        !IsProvenAt(part, at) && !Contains(unproven, part)) {
      unproven.push_back(part);
    }
  }
  return unproven;
}

void PartQuarantine::AddProof(const PartId& part, Millis sound_at) {
  const auto [proof, is_new] = proofs_.try_emplace(part);
  if (is_new) {
    proof_order_.push_front(part);
    proof->second = {sound_at, std::nullopt, proof_order_.begin()};
  } else {
    proof->second.sound_at = std::max(proof->second.sound_at, sound_at);
    proof_order_.splice(proof_order_.begin(), proof_order_,
                        proof->second.position);
  }
  if (proofs_.size() > kMaxProvenParts) {
    proofs_.erase(proof_order_.back());
    proof_order_.pop_back();
  }
}

void PartQuarantine::AnswerWithProof(const PartId& part, Millis now) {
  const auto proof = proofs_.find(part);
  if (proof == proofs_.end() || proofs_to_send_.size() >= kMaxProofsToSend) {
    return;
  }
  const std::optional<Millis> told_at = proof->second.told_at;
  if (told_at && now - *told_at < kProofInterval) {
    return;
  }
  proof->second.told_at = now;
  proofs_to_send_.insert(part);
  changed_ = true;
}

bool PartQuarantine::IsReported(const PartId& part) const {
  const bool in_crash = std::any_of(
      crashes_.begin(), crashes_.end(), [&part](const Crash& crash) {
        return std::any_of(crash.requests.begin(), crash.requests.end(),
                           [&part](const auto& request) {
                             return Contains(request.first, part);
                           });
      });
  return in_crash || std::any_of(quarantines_.begin(), quarantines_.end(),
                                 [&part](const Quarantine& quarantine) {
                                   return Contains(quarantine.parts, part);
                                 });
}

void PartQuarantine::RemoveProvenPart(const PartId& part) {
  for (Crash& crash : crashes_) {
    if (!IsProvenAt(part, crash.at)) {
      continue;
    }
    CrashedRequests remaining;
    for (const auto& [parts, stage] : crash.requests) {
      const auto [item, is_new] =
          remaining.try_emplace(Without(parts, part), stage);
      item->second = std::min(item->second, stage);
    }
    remaining.erase(PartList());
    crash.requests = std::move(remaining);
  }
  std::erase_if(crashes_,
                [](const Crash& crash) { return crash.requests.empty(); });
  for (Quarantine& quarantine : quarantines_) {
    if (Contains(quarantine.parts, part) &&
        IsProvenAt(part, quarantine.last_break_at)) {
      quarantine.parts = Without(quarantine.parts, part);
      if (quarantine.parts.empty()) {
        hooks_.on_cleared(part);
      }
    }
  }
  std::erase_if(quarantines_, [](const Quarantine& quarantine) {
    return quarantine.parts.empty();
  });
  must_evaluate_ = true;
}

void PartQuarantine::RecordSound(const PartList& parts, Millis now) {
  for (const PartId& part : parts) {
    if (!IsUsable(part)) {
      continue;
    }
    AddProof(part, now);
    if (IsReported(part)) {
      RemoveProvenPart(part);
      AnswerWithProof(part, now);
    }
  }
}

bool PartQuarantine::DropCrash(BreakStage stage) {
  auto dropped = std::find_if(
      crashes_.begin(), crashes_.end(),
      [](const Crash& crash) { return BrokeOnlyLate(crash.requests); });
  if (dropped == crashes_.end()) {
    if (stage != BreakStage::kBegun) {
      return false;
    }
    dropped = crashes_.begin();
  }
  crashes_.erase(dropped);
  return true;
}

bool PartQuarantine::AddRequest(const PartList& parts,
                                BreakStage stage,
                                Crash* crash) {
  const auto known = crash->requests.find(parts);
  if (known != crash->requests.end()) {
    const bool is_earlier = stage < known->second;
    known->second = std::min(known->second, stage);
    return is_earlier;
  }
  if (crash->requests.size() >= kMaxRequestsPerCrash) {
    const auto late =
        std::find_if(crash->requests.begin(), crash->requests.end(), BrokeLate);
    if (stage != BreakStage::kBegun || late == crash->requests.end()) {
      return false;
    }
    crash->requests.erase(late);
  }
  crash->requests.emplace(parts, stage);
  return true;
}

PartQuarantine::Crash* PartQuarantine::AddCrash(const UpstreamId& upstream,
                                                const PartList& parts,
                                                BreakStage stage,
                                                Millis at,
                                                Millis now) {
  const PartList unproven = UnprovenOf(parts, at);
  if (unproven.empty()) {
    return nullptr;
  }
  auto known =
      std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& crash) {
        return crash.upstream == upstream && at - crash.at <= kSameCrashTime &&
               crash.at - at <= kSameCrashTime;
      });
  if (known == crashes_.end()) {
    if (crashes_.size() >= kMaxCrashes && !DropCrash(stage)) {
      return nullptr;
    }
    const auto position = std::upper_bound(
        crashes_.begin(), crashes_.end(), at,
        [](Millis time, const Crash& crash) { return time < crash.at; });
    known = crashes_.insert(position, Crash{upstream, at, now, {}, false});
    must_evaluate_ = true;
  }
  if (AddRequest(unproven, stage, &*known)) {
    must_evaluate_ = true;
    // Peers that have it from this daemon only need it too.
    known->changed = true;
    changed_ = true;
  }
  return &*known;
}

void PartQuarantine::RecordBreak(const UpstreamId& upstream,
                                 const PartList& parts,
                                 Millis now,
                                 BreakStage stage) {
  for (const PartId& part : UnprovenOf(parts, now)) {
    if (!IsReported(part)) {
      hooks_.on_suspected(part, upstream);
    }
  }
  Crash* crash = AddCrash(upstream, parts, stage, now, now);
  if (!crash) {
    return;
  }
  crash->changed = true;
  for (Quarantine& quarantine : quarantines_) {
    if (ContainsAll(parts, quarantine.parts)) {
      quarantine.last_break_at = now;
      ++quarantine.crashes;
      quarantine.changed = true;
    }
  }
  changed_ = true;
}

PartQuarantine::CrashCount PartQuarantine::CountCrashes(
    const std::set<size_t>& crashes) const {
  std::set<UpstreamId> upstreams;
  size_t causes = 0;
  std::optional<Millis> cause_at;
  // The indices are in the order of the times.
  for (const size_t index : crashes) {
    const Crash& crash = crashes_[index];
    upstreams.insert(crash.upstream);
    if (!cause_at || crash.at - *cause_at > kCommonCauseTime) {
      cause_at = crash.at;
      ++causes;
    }
  }
  return {causes, upstreams.size()};
}

bool PartQuarantine::Meets(const Standard& standard,
                           const std::set<size_t>& crashes) const {
  const CrashCount count = CountCrashes(crashes);
  return count.causes >= standard.crashes &&
         count.upstreams >= standard.upstreams;
}

bool PartQuarantine::HasLateBreaks() const {
  return std::any_of(crashes_.begin(), crashes_.end(), [](const Crash& crash) {
    return std::any_of(crash.requests.begin(), crash.requests.end(), BrokeLate);
  });
}

bool PartQuarantine::IsQuarantinedAlone(const PartId& part) const {
  return std::any_of(quarantines_.begin(), quarantines_.end(),
                     [&part](const Quarantine& quarantine) {
                       return quarantine.parts == PartList{part};
                     });
}

std::vector<PartQuarantine::Candidate> PartQuarantine::MakeCandidates(
    const Standard& standard) const {
  std::map<PartId, Candidate> by_part;
  for (size_t i = 0; i < crashes_.size(); ++i) {
    for (const auto& [parts, stage] : crashes_[i].requests) {
      if (stage > standard.last_stage) {
        continue;
      }
      for (const PartId& part : parts) {
        const auto [item, is_new] = by_part.try_emplace(part);
        Candidate& candidate = item->second;
        if (is_new) {
          candidate.part = part;
          candidate.companions = parts;
          candidate.known_at = crashes_[i].known_at;
        }
        std::erase_if(candidate.companions,
                      [&request = parts](const PartId& companion) {
                        return !Contains(request, companion);
                      });
        candidate.known_at = std::min(candidate.known_at, crashes_[i].known_at);
        candidate.crashes.insert(i);
      }
    }
  }
  std::vector<Candidate> candidates;
  for (auto& [part, candidate] : by_part) {
    const CrashCount count = CountCrashes(candidate.crashes);
    candidate.strength = {std::min(count.causes, count.upstreams),
                          IsQuarantinedAlone(part)};
    if (Meets(standard, candidate.crashes)) {
      candidates.push_back(std::move(candidate));
    }
  }
  return candidates;
}

std::set<PartId> PartQuarantine::RemoveExplained(
    const Standard& standard,
    std::vector<Candidate>* candidates) const {
  std::sort(candidates->begin(), candidates->end(),
            [](const Candidate& left, const Candidate& right) {
              return left.strength > right.strength;
            });
  std::set<PartId> removed;
  std::vector<Candidate> kept;
  std::set<size_t> explained;
  std::set<size_t> explained_by_equals;
  std::pair<size_t, bool> strength;
  for (Candidate& candidate : *candidates) {
    if (candidate.strength != strength) {
      strength = candidate.strength;
      explained = explained_by_equals;
    }
    if (!Meets(standard, Difference(candidate.crashes, explained))) {
      removed.insert(candidate.part);
      continue;
    }
    explained_by_equals.insert(candidate.crashes.begin(),
                               candidate.crashes.end());
    kept.push_back(std::move(candidate));
  }
  *candidates = std::move(kept);
  return removed;
}

void PartQuarantine::RemoveQuarantinesOf(const std::set<PartId>& parts) {
  std::erase_if(quarantines_, [&](const Quarantine& quarantine) {
    const bool removed = std::any_of(
        quarantine.parts.begin(), quarantine.parts.end(),
        [&parts](const PartId& part) { return parts.contains(part); });
    if (removed) {
      hooks_.on_cleared(quarantine.parts.back());
    }
    return removed;
  });
}

void PartQuarantine::EvaluateCrashes(Millis now) {
  must_evaluate_ = false;
  evaluate_at_.reset();
  constexpr Standard kEarly{BreakStage::kBegun, kCrashesToQuarantine,
                            kCrashesToQuarantine};
  std::vector<Candidate> candidates = MakeCandidates(kEarly);
  RemoveQuarantinesOf(RemoveExplained(kEarly, &candidates));
  QuarantineCandidates(candidates, now);
  if (!HasLateBreaks()) {
    return;
  }
  constexpr Standard kLate{BreakStage::kContentSent, kLateCrashesToQuarantine,
                           kCrashesToQuarantine};
  std::vector<Candidate> late_candidates = MakeCandidates(kLate);
  std::set<PartId> removed = RemoveExplained(kLate, &late_candidates);
  // Late breaks don't outweigh what the early ones show.
  for (const Candidate& candidate : candidates) {
    removed.erase(candidate.part);
  }
  RemoveQuarantinesOf(removed);
  QuarantineCandidates(late_candidates, now);
}

void PartQuarantine::QuarantineCandidates(
    const std::vector<Candidate>& candidates,
    Millis now) {
  for (const Candidate& candidate : candidates) {
    // A part that never crashed without this one, but this one without it.
    const bool has_narrower = std::any_of(
        candidates.begin(), candidates.end(), [&](const Candidate& other) {
          return Contains(other.companions, candidate.part) &&
                 !Contains(candidate.companions, other.part) &&
                 Difference(candidate.crashes, other.crashes).empty();
        });
    if (has_narrower) {
      continue;
    }
    const Millis ready_at = candidate.known_at + kProofWait;
    if (now < ready_at) {
      evaluate_at_ = std::min(evaluate_at_.value_or(ready_at), ready_at);
      continue;
    }
    Quarantine quarantine;
    quarantine.parts = candidate.companions;
    quarantine.crashes = static_cast<int64_t>(candidate.strength.first);
    quarantine.last_break_at = crashes_[*candidate.crashes.rbegin()].at;
    AddQuarantine(std::move(quarantine));
  }
}

void PartQuarantine::MergeQuarantine(const Quarantine& other,
                                     Quarantine* known) {
  const bool has_news =
      other.crashes > known->crashes || other.trials > known->trials;
  known->crashes = std::max(known->crashes, other.crashes);
  known->last_break_at = std::max(known->last_break_at, other.last_break_at);
  if (other.trials > known->trials) {
    known->trials = other.trials;
    known->last_trial_at = other.last_trial_at;
  }
  known->changed = known->changed || has_news;
  changed_ = changed_ || has_news;
}

void PartQuarantine::AddQuarantine(Quarantine quarantine) {
  for (Quarantine& known : quarantines_) {
    if (SameParts(known.parts, quarantine.parts)) {
      MergeQuarantine(quarantine, &known);
      return;
    }
    if (ContainsAll(quarantine.parts, known.parts)) {
      return;  // It already rejects these requests, and more.
    }
  }
  std::erase_if(quarantines_, [&quarantine](const Quarantine& known) {
    return ContainsAll(known.parts, quarantine.parts);
  });
  if (quarantines_.size() >= kMaxQuarantines) {
    quarantines_.erase(
        std::min_element(quarantines_.begin(), quarantines_.end(),
                         [](const Quarantine& left, const Quarantine& right) {
                           return left.last_break_at < right.last_break_at;
                         }));
  }
  must_evaluate_ = true;
  changed_ = true;
  quarantine.changed = true;
  hooks_.on_quarantined(quarantine.parts.back(), quarantine.crashes);
  quarantines_.push_back(std::move(quarantine));
}

void PartQuarantine::Tick(Millis now) {
  std::erase_if(crashes_, [now](const Crash& crash) {
    return now - crash.at > kCrashMemory;
  });
  std::erase_if(quarantines_, [this, now](const Quarantine& quarantine) {
    const bool expired = now - LastActivity(quarantine) > kQuarantineMemory;
    if (expired) {
      hooks_.on_cleared(quarantine.parts.back());
    }
    return expired;
  });
  if (must_evaluate_ || (evaluate_at_ && now >= *evaluate_at_)) {
    EvaluateCrashes(now);
  }
}

std::optional<PartId> PartQuarantine::FindQuarantined(const PartList& parts,
                                                      Millis /*now*/) const {
  for (const Quarantine& quarantine : quarantines_) {
    if (ContainsAll(parts, quarantine.parts)) {
      return quarantine.parts.back();
    }
  }
  return std::nullopt;
}

Millis PartQuarantine::LastActivity(const Quarantine& quarantine) {
  return quarantine.trials > 0
             ? std::max(quarantine.last_break_at, quarantine.last_trial_at)
             : quarantine.last_break_at;
}

Millis PartQuarantine::NextTrialAt(const Quarantine& quarantine) const {
  Millis delay = kTrialDelay;
  for (int64_t i = 0; i < quarantine.trials && delay < kMaxTrialDelay; ++i) {
    delay = delay * 2;
  }
  const size_t hash = std::hash<std::string>()(
      absl::StrCat(self_.value(), " ", quarantine.parts.back().value()));
  const auto spread = static_cast<size_t>(kTrialSpread.count());
  return LastActivity(quarantine) + std::min(delay, kMaxTrialDelay) +
         Millis(static_cast<int64_t>(hash % spread));
}

bool PartQuarantine::TryTrial(const PartList& parts, Millis now) {
  std::vector<Quarantine*> tested;
  for (Quarantine& quarantine : quarantines_) {
    if (!ContainsAll(parts, quarantine.parts)) {
      continue;
    }
    if (now < NextTrialAt(quarantine)) {
      return false;
    }
    tested.push_back(&quarantine);
  }
  for (Quarantine* quarantine : tested) {
    ++quarantine->trials;
    quarantine->last_trial_at = now;
    quarantine->changed = true;
  }
  if (!tested.empty()) {
    changed_ = true;
  }
  return true;
}

bool PartQuarantine::IsSuspect(const PartList& parts, Millis now) const {
  return std::any_of(parts.begin(), parts.end(), [&](const PartId& part) {
    return !IsProvenAt(part, now) && IsReported(part);
  });
}

PartEvidence PartQuarantine::CollectEvidence(bool all, Millis now) {
  PartEvidence evidence;
  for (Crash& crash : crashes_) {
    if (all || crash.changed) {
      evidence.crashes.push_back(
          {crash.upstream, now - crash.at, crash.requests});
    }
    crash.changed = crash.changed && all;
  }
  for (Quarantine& quarantine : quarantines_) {
    if (all || quarantine.changed) {
      evidence.quarantines.push_back(
          {quarantine.parts, quarantine.crashes, now - quarantine.last_break_at,
           quarantine.trials, now - quarantine.last_trial_at});
    }
    quarantine.changed = quarantine.changed && all;
  }
  if (!all) {
    for (const PartId& part : std::exchange(proofs_to_send_, {})) {
      const auto proof = proofs_.find(part);
      if (proof != proofs_.end()) {
        evidence.proofs.push_back({part, now - proof->second.sound_at});
      }
    }
    changed_ = false;
  }
  return evidence;
}

void PartQuarantine::ApplyPeerEvidence(const HostId& /*from*/,
                                       const PartEvidence& evidence,
                                       Millis now) {
  for (const PartEvidence::Proof& proof : evidence.proofs) {
    if (IsUsable(proof.part)) {
      const Millis sound_at = now - CheckedAge(proof.age);
      const bool is_news = !IsProvenAt(proof.part, sound_at);
      AddProof(proof.part, sound_at);
      RemoveProvenPart(proof.part);
      if (is_news) {
        AnswerWithProof(proof.part, now);
      }
    }
  }
  for (const PartEvidence::Crash& crash : evidence.crashes) {
    const Millis at = now - CheckedAge(crash.age);
    if (now - at > kCrashMemory) {
      continue;
    }
    for (const auto& [parts, stage] : crash.requests) {
      AnswerWithProofs(parts, at, now);
      AddCrash(crash.upstream, parts, stage, at, now);
    }
  }
  for (const PartEvidence::Quarantine& peer : evidence.quarantines) {
    Quarantine quarantine;
    quarantine.last_break_at = now - CheckedAge(peer.break_age);
    AnswerWithProofs(peer.parts, quarantine.last_break_at, now);
    quarantine.parts = UnprovenOf(peer.parts, quarantine.last_break_at);
    quarantine.crashes = peer.crashes;
    quarantine.trials = std::clamp<int64_t>(peer.trials, 0, kMaxTrials);
    quarantine.last_trial_at = now - CheckedAge(peer.trial_age);
    if (!quarantine.parts.empty() &&
        now - LastActivity(quarantine) < kQuarantineMemory) {
      AddQuarantine(std::move(quarantine));
    }
  }
}

void PartQuarantine::AnswerWithProofs(const PartList& parts,
                                      Millis at,
                                      Millis now) {
  for (const PartId& part : parts) {
    if (IsProvenAt(part, at)) {
      AnswerWithProof(part, now);
    }
  }
}

}  // namespace dandelion::admission
