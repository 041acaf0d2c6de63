#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "routing/brittle_bound.h"
#include "routing/named_number.h"
#include "routing/rate_share.h"

namespace dandelion::routing {

/// What an upstream says of itself in the head of one answer.
struct SelfReport {
  /// It ends soon and takes no new requests.
  bool leaving = false;
  /// Requests per second that it takes from all daemons together.
  std::optional<double> requests_per_second;
  /// It is brittle: it falls over if it has to reject more requests in a second
  /// for want of room.
  std::optional<double> rejections_per_second;
  /// It rejected the request and wants no other from this daemon for so long.
  std::optional<base::Millis> pause;

  /// Whether the upstream said nothing of itself.
  bool empty() const {
    return !leaving && !requests_per_second && !rejections_per_second && !pause;
  }
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
  /// Empty if the upstream is not brittle, or not any more.
  std::optional<double> rejections_per_second;
  /// How long ago the upstream said so, or answered without.
  base::Millis brittle_age{0};
};

/// Keeps what upstreams say of themselves in their answers, and decides by it
/// when this daemon may send them requests. Everything that chooses an upstream
/// asks here: first sends, retries, migrations and control calls.
///
/// An upstream that leaves gets nothing until it has restarted. A limit holds
/// for all daemons together: each keeps to its `ShareOf` it, so that the sum is
/// right without a message for each send. Where an upstream is brittle, the
/// same holds for what it may have to reject (`BrittleBound`). A pause binds
/// only the daemon that was told of it.
class SelfReports {
 public:
  /// Times over which sends to a limited upstream are counted. The short one
  /// allows for bursts, the long one keeps the rate near the limit.
  static constexpr base::Millis kLimitWindow{4000};
  static constexpr base::Millis kLongLimitWindow{16'000};
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
    /// An upstream says for the first time that it is brittle, names another
    /// number of rejections, or is brittle no longer. May be empty.
    std::function<void(const base::UpstreamId&, std::optional<double>)>
        on_brittle = {};
    /// What is known of the room of a brittle upstream. Without it, only
    /// rejections that were told bound what is sent.
    std::function<UpstreamRoom(const base::UpstreamId&)> room = {};
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

  /// Records that the upstream rejected a request for want of room.
  void RecordRejection(const base::UpstreamId& id, base::Millis now);
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

  /// Whether a control call may be sent now, which needs no room there.
  bool MayCall(const base::UpstreamId& id, base::Millis now) {
    const std::optional<base::Millis> at = CallableAt(id, now);
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
    /// Requests per second.
    NamedNumber limit;
    /// Rejections per second.
    NamedNumber brittle;
    base::Millis paused_until{0};
    SendWindow sends;
    /// This daemon's part of the limit in the short window.
    SettledShare share;
    BrittleBound brittle_bound;
    bool changed = false;
    /// When the upstream was last listed or answered.
    base::Millis last_seen_at;
  };

  /// Like `SendableAt`, for a call that needs no room.
  std::optional<base::Millis> CallableAt(const base::UpstreamId& id,
                                         base::Millis now);
  void SetLeaving(const base::UpstreamId& id,
                  State& state,
                  std::string_view reason);
  void OnLimitChanged(const base::UpstreamId& id, State& state);
  void OnBrittleChanged(const base::UpstreamId& id, State& state);
  base::Millis LimitFreeAt(const base::UpstreamId& id,
                           State& state,
                           base::Millis now) const;
  base::Millis BrittleFreeAt(const base::UpstreamId& id,
                             State& state,
                             base::Millis now) const;

  Hooks hooks_;
  std::map<base::UpstreamId, State> states_;
};

}  // namespace dandelion::routing
