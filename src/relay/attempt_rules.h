#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string_view>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/catalogue.h"

namespace dandelion::relay {

/// How one send of a request ended.
enum class SendEnd {
  /// A whole head that may go to the caller.
  kAnswered,
  /// No connection: nothing was sent.
  kNotSent,
  /// Another upstream has the address.
  kOtherUpstream,
  /// The upstream proves that the request did not run.
  kNotRun,
  /// The connection broke, or the answer was no answer to this request.
  kBroken,
  /// The caller's time is over.
  kTimedOut,
  /// The caller left.
  kCallerGone,
};

std::string_view ToString(SendEnd end);

/// What happened to a request so far.
struct SendHistory {
  /// Upstreams to which the request was sent.
  int sent = 0;
  /// Sends that ended without any upstream having the request.
  int unsent = 0;
  bool may_have_run = false;

  void Note(SendEnd end);
};

/// Whether the request may go to one more upstream.
///
/// Load pattern: upstreams that shed, break off or lose answers; nothing that
/// may have run is sent again unless it may run twice.
bool MaySendAgain(const fleet::Route& route, const SendHistory& history);

/// The status of the final answer when no upstream's answer can be passed on.
int FinalStatus(const SendHistory& history, SendEnd last);

/// Limits repeated sends to a pool, as this daemon's part of what the fleet may
/// send again.
///
/// Load pattern: an upstream that fails much of its work, and retries that
/// would double the load of the others.
class RepeatLimit {
 public:
  struct Bounds {
    /// Repeats per first send.
    double ratio = 0.2;
    /// Repeats beyond that for the whole fleet.
    double slack = 10;
    base::Millis window{10'000};
  };
  /// A part of the bound stays unused, because windows slide.
  static constexpr double kUsedShare = 0.7;

  explicit RepeatLimit(Bounds bounds) : bounds_(bounds) {}

  void SetBounds(Bounds bounds) { bounds_ = bounds; }
  void NoteRequest(const base::PoolName& pool, base::Millis now);
  /// Spends one repeat; false if there is none left. `daemons` share the slack.
  bool TrySpend(const base::PoolName& pool, base::Millis now, size_t daemons);

 private:
  struct Window {
    std::deque<base::Millis> requests;
    std::deque<base::Millis> repeats;
  };

  void Expire(Window& window, base::Millis now);

  Bounds bounds_;
  std::map<base::PoolName, Window> windows_;
};

}  // namespace dandelion::relay
