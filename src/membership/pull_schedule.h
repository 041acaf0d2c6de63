#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::membership {

/// Decides when a daemon that lacks records asks a peer for them. Each peer
/// that is ahead offers the same records, so only one is asked at a time:
/// answers from all of them would fill the link of a small host for seconds.
class PullSchedule {
 public:
  /// Another peer is asked if the answer takes longer. The time doubles with
  /// each further pull without an answer, up to `kMaxTimeout`. A peer that has
  /// turned a pull away is not asked again for `kFirstTimeout`.
  static constexpr base::Millis kFirstTimeout{500};
  static constexpr base::Millis kMaxTimeout{4000};

  /// Returns whether `peer` may be asked at `now`, and counts it as asked.
  bool TryStart(const base::HostId& peer, base::Millis now) {
    const bool waits = pending_ && now < pending_->give_up_at;
    if (waits || IsTurnedAway(peer, now)) {
      return false;
    }
    timeout_ = pending_ ? std::min(kMaxTimeout, timeout_ * 2) : kFirstTimeout;
    pending_ = Pending{peer, now + timeout_};
    return true;
  }

  /// Whether `peer` has turned a pull away and is not to be asked yet.
  bool IsTurnedAway(const base::HostId& peer, base::Millis now) const {
    const auto until = turned_away_until_.find(peer);
    return until != turned_away_until_.end() && now < until->second;
  }

  /// Ends the pull from `peer` if there is one. It was turned away if
  /// `complete` is not set.
  void OnAnswer(const base::HostId& peer, bool complete, base::Millis now) {
    if (!pending_ || pending_->peer != peer) {
      return;
    }
    pending_.reset();
    if (complete) {
      turned_away_until_.clear();
    } else {
      turned_away_until_[peer] = now + kFirstTimeout;
    }
  }

 private:
  struct Pending {
    base::HostId peer;
    base::Millis give_up_at;
  };

  std::optional<Pending> pending_;
  base::Millis timeout_ = kFirstTimeout;
  std::map<base::HostId, base::Millis> turned_away_until_;
};

/// Limits the bytes of records that a daemon sends in answers to pulls. The
/// daemons that it turns away ask others, which have the records by then.
class AnswerBudget {
 public:
  /// Under half of a link of 10 Mbit/s; the rest is left to callers.
  static constexpr int64_t kDefaultBytesPerSecond = 512 * 1024;

  explicit AnswerBudget(int64_t bytes_per_second = kDefaultBytesPerSecond)
      : bytes_per_second_(std::max<int64_t>(1, bytes_per_second)) {}

  /// Whether records may be sent at `now`.
  bool MaySend(base::Millis now) const { return now >= free_at_; }
  /// Counts `bytes` that are sent at `now`, and that may exceed the budget.
  void Spend(size_t bytes, base::Millis now) {
    free_at_ = std::max(free_at_, now) +
               base::Millis(static_cast<int64_t>(bytes) * kMsPerSecond /
                            bytes_per_second_);
  }
  /// The bytes that the budget allows in `time`.
  size_t BytesIn(base::Millis time) const {
    return static_cast<size_t>(bytes_per_second_ * time.count() / kMsPerSecond);
  }

 private:
  static constexpr int64_t kMsPerSecond = 1000;

  int64_t bytes_per_second_;
  base::Millis free_at_{0};
};

}  // namespace dandelion::membership
