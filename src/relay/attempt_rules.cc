#include "relay/attempt_rules.h"

#include <algorithm>

namespace dandelion::relay {
namespace {

using base::Millis;

// Failed connections and addresses that belong to another upstream now cost no
// upstream any work, but each costs the caller time.
constexpr int kMaxUnsent = 6;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace

std::string_view ToString(SendEnd end) {
  switch (end) {
    case SendEnd::kAnswered:
      return "answered";
    case SendEnd::kNotSent:
      return "not_sent";
    case SendEnd::kOtherUpstream:
      return "other_upstream";
    case SendEnd::kNotRun:
      return "not_run";
    case SendEnd::kBroken:
      return "broken";
    case SendEnd::kTimedOut:
      return "timed_out";
    case SendEnd::kCallerGone:
      return "caller_gone";
  }
  return "broken";
}

void SendHistory::Note(SendEnd end) {
  switch (end) {
    case SendEnd::kNotSent:
    case SendEnd::kOtherUpstream:
      ++unsent;
      break;
    case SendEnd::kNotRun:
      ++sent;
      break;
    case SendEnd::kAnswered:
    case SendEnd::kBroken:
    case SendEnd::kTimedOut:
    case SendEnd::kCallerGone:
      ++sent;
      may_have_run = true;
      break;
  }
}

bool MaySendAgain(const fleet::Route& route, const SendHistory& history) {
  if (history.unsent >= kMaxUnsent || history.sent >= route.max_upstreams) {
    return false;
  }
  return !history.may_have_run || route.Repeatable();
}

int FinalStatus(const SendHistory& history, SendEnd last) {
  if (!history.may_have_run) {
    return kUnavailable;
  }
  return last == SendEnd::kTimedOut ? kGatewayTimeout : kBadGateway;
}

void RepeatLimit::NoteRequest(const base::PoolName& pool, Millis now) {
  Window& window = windows_[pool];
  Expire(window, now);
  window.requests.push_back(now);
}

bool RepeatLimit::TrySpend(const base::PoolName& pool,
                           Millis now,
                           size_t daemons) {
  Window& window = windows_[pool];
  Expire(window, now);
  const double limit =
      kUsableShare *
      (bounds_.ratio * static_cast<double>(window.requests.size()) +
       bounds_.slack / static_cast<double>(std::max<size_t>(1, daemons)));
  if (static_cast<double>(window.retries.size()) + 1 > limit) {
    return false;
  }
  window.retries.push_back(now);
  return true;
}

void RepeatLimit::Expire(Window& window, Millis now) {
  const Millis oldest = now - bounds_.window;
  for (std::deque<Millis>* times : {&window.requests, &window.retries}) {
    while (!times->empty() && times->front() < oldest) {
      times->pop_front();
    }
  }
}

}  // namespace dandelion::relay
