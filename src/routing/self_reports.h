#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "routing/rate_share.h"

namespace dandelion::routing {

/// What an upstream says of itself in the head of one answer.
struct SelfReport {
  /// It ends soon and takes no new requests.
  bool leaving = false;
  /// Requests per second that it takes from all daemons together.
  std::optional<double> requests_per_second;
  /// It rejected the request and wants no other from this daemon for so long.
  std::optional<base::Millis> pause;

  /// Whether the upstream said nothing of itself.
  bool empty() const { return !leaving && !requests_per_second && !pause; }
};

/// What daemons tell each other of an upstream's reports.
struct SharedSelfReport {
  base::UpstreamId upstream;
  /// Start time of the upstream that said it, as it is listed.
  int64_t started_at = 0;
  bool leaving = false;
  /// Empty if the upstream has no limit any more.
  std::optional<double> requests_per_second;
  /// How long ago the upstream named the limit, or answered without one.
  base::Millis limit_age{0};
};

/// Keeps what upstreams say of themselves in their answers, and decides by it
/// when this daemon may send them requests. Everything that chooses an upstream
/// asks here: first sends, retries, migrations and control calls.
///
/// An upstream that leaves gets nothing until it has restarted. A limit holds
/// for all daemons together: each keeps to its `ShareOf` it, so that the sum is
/// right without a message for each send. A pause binds only the daemon that
/// was told of it.
class SelfReports {
 public:
  /// Times over which sends to a limited upstream are counted. The short one
  /// allows for bursts, the long one keeps the rate near the limit.
  static constexpr base::Millis kLimitWindow{4000};
  static constexpr base::Millis kLongLimitWindow{16'000};
  /// A limit ends with an answer that does not name it. Answers overtake each
  /// other, so one that follows so soon after the last that did is ignored.
  static constexpr base::Millis kLimitHold{1000};
  /// A limit that no answer has confirmed for this long has ended.
  static constexpr base::Millis kLimitLifetime{30'000};
  /// Longest pause that is kept; a longer one is taken as this.
  static constexpr base::Millis kMaxPause{60'000};
  /// What an upstream said is kept for this long after it was last listed or
  /// answered.
  static constexpr base::Millis kRetention{600'000};

  struct Hooks {
    /// An upstream says for the first time that it leaves, or was found to have
    /// ended.
    std::function<void(const base::UpstreamId&, std::string_view reason)>
        on_leaving;
    /// An upstream names another limit, or none.
    std::function<void(const base::UpstreamId&, std::optional<double>)>
        on_limit;
    std::function<void(const base::UpstreamId&, base::Millis pause)> on_pause;
    /// This daemon's rank among those that may send to an upstream.
    std::function<DaemonRank(const base::UpstreamId&)> rank;
  };

  explicit SelfReports(Hooks hooks) : hooks_(std::move(hooks)) {}

  /// Records the report in an answer of the upstream.
  void RecordAnswer(const base::UpstreamId& id,
                    const SelfReport& report,
                    base::Millis now);
  /// Records that another upstream answers at the upstream's address, so that
  /// it has ended whatever its entry says. It counts as leaving.
  void RecordEnded(const base::UpstreamId& id);
  /// Applies what a peer knows, unless the upstream has restarted since or is
  /// not listed. What is known to be newer stays.
  void ApplyShared(const SharedSelfReport& report, base::Millis now);
  /// Returns what peers should know: everything if `all` is set, else what has
  /// changed since the last such call.
  std::vector<SharedSelfReport> CollectShared(bool all, base::Millis now);
  bool has_changes() const;

  /// Counts a request that is sent to the upstream.
  void RecordSend(const base::UpstreamId& id, base::Millis now);
  /// When a request may be sent: `now` if it may at once; nothing if never,
  /// because the upstream leaves.
  std::optional<base::Millis> SendableAt(const base::UpstreamId& id,
                                         base::Millis now);
  /// Whether a request may be sent now.
  bool MaySend(const base::UpstreamId& id, base::Millis now) {
    const std::optional<base::Millis> at = SendableAt(id, now);
    return at && *at <= now;
  }

  /// The upstream is listed with a start time. If that is another than before,
  /// it has restarted, and all that it said is void.
  void OnListed(const base::UpstreamId& id,
                int64_t started_at,
                base::Millis now);
  /// Drops what is known of upstreams for which `is_listed` is false and
  /// `kRetention` has passed.
  void Prune(const std::function<bool(const base::UpstreamId&)>& is_listed,
             base::Millis now);

 private:
  struct State {
    /// Empty until the upstream is listed.
    std::optional<int64_t> started_at;
    bool leaving = false;
    std::optional<double> requests_per_second;
    /// When the upstream last named its limit, or first named none after it.
    std::optional<base::Millis> limit_said_at;
    base::Millis paused_until{0};
    SendWindow sends;
    /// This daemon's part of the limit in the short window, and when a larger
    /// one may be used.
    std::optional<int64_t> share;
    std::optional<base::Millis> share_rises_at;
    bool changed = false;
    /// When the upstream was last listed or answered.
    base::Millis last_seen_at;
  };

  void SetLeaving(const base::UpstreamId& id,
                  State& state,
                  std::string_view reason);
  void SetLimit(const base::UpstreamId& id,
                State& state,
                std::optional<double> requests_per_second,
                base::Millis said_at);
  /// Returns the part of a limit that this daemon may use. One that has grown
  /// because daemons came or went counts a window later, when what others have
  /// sent on it is over.
  static int64_t SettledShare(State& state, int64_t share, base::Millis now);
  base::Millis LimitFreeAt(const base::UpstreamId& id,
                           State& state,
                           base::Millis now) const;

  Hooks hooks_;
  std::map<base::UpstreamId, State> states_;
};

}  // namespace dandelion::routing
