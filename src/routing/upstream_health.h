#pragma once

#include <functional>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::routing {

/// How an attempt at an upstream ended, as far as it tells of its health.
enum class Outcome {
  kGood,
  /// It refused, failed or broke off.
  kBad,
  /// It did not answer in the time in which others do.
  kSilent,
};

/// Learns from outcomes which upstreams fail or are slow.
///
/// Load pattern: upstreams that fail part of their requests, hang or fall
/// silent while their health check is good.
class UpstreamHealth {
 public:
  /// So many failures in a row eject an upstream.
  static constexpr int kFailuresInRow = 3;
  /// First time of an ejection; each one in a row doubles it.
  static constexpr base::Millis kFirstEjection{1500};
  static constexpr base::Millis kLongestEjection{6000};
  /// Weight of the newest outcome or time in an average.
  static constexpr double kNewest = 0.2;

  struct Hooks {
    std::function<void(const base::UpstreamId&, base::Millis time)> on_eject;
    std::function<void(const base::UpstreamId&)> on_readmit;
  };

  explicit UpstreamHealth(Hooks hooks) : hooks_(std::move(hooks)) {}

  void Note(const base::UpstreamId& id, Outcome outcome, base::Millis now);
  /// The time from sending to the answer's head.
  void NoteAnswerTime(const base::UpstreamId& id, base::Millis time);
  /// The time an engine takes for one token.
  void NoteTokenTime(const base::UpstreamId& id, double milliseconds);
  /// A peer's average of the same.
  void NotePeerTokenTime(const base::UpstreamId& id, double milliseconds);
  void Forget(const base::UpstreamId& id) { records_.erase(id); }

  /// Ejected upstreams get no work, but for one probe when the time is over.
  bool Ejected(const base::UpstreamId& id, base::Millis now) const;
  /// Share of failures, 0 to 1; the newest weigh most.
  double FailureShare(const base::UpstreamId& id) const;
  std::optional<double> AnswerMs(const base::UpstreamId& id) const;
  /// Own average if there is one, else a peer's.
  std::optional<double> TokenMs(const base::UpstreamId& id) const;
  std::optional<double> OwnTokenMs(const base::UpstreamId& id) const;

 private:
  struct Record {
    int failures_in_row = 0;
    int ejections_in_row = 0;
    double failure_share = 0;
    std::optional<base::Millis> ejected_until;
    std::optional<double> answer_ms;
    std::optional<double> token_ms;
    std::optional<double> peer_token_ms;
  };

  void Eject(const base::UpstreamId& id, Record& record, base::Millis now);
  const Record* Find(const base::UpstreamId& id) const;

  Hooks hooks_;
  std::map<base::UpstreamId, Record> records_;
};

}  // namespace dandelion::routing
