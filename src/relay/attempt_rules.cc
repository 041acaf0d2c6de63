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

std::string_view ToString(SendOutcome end) {
  switch (end) {
    case SendOutcome::kAnswered:
      return "answered";
    case SendOutcome::kNotSent:
      return "not_sent";
    case SendOutcome::kOtherUpstream:
      return "other_upstream";
    case SendOutcome::kNotRun:
      return "not_run";
    case SendOutcome::kBroken:
      return "broken";
    case SendOutcome::kTimedOut:
      return "timed_out";
    case SendOutcome::kCallerGone:
      return "caller_gone";
    case SendOutcome::kStopping:
      return "stopping";
    case SendOutcome::kQuarantined:
      return "quarantined";
    case SendOutcome::kOriginUnknown:
      return "origin_unknown";
    case SendOutcome::kVersionGone:
      return "version_gone";
  }
  return "broken";
}

bool DidNotRun(SendOutcome end) {
  return end == SendOutcome::kNotSent || end == SendOutcome::kNotRun ||
         end == SendOutcome::kOtherUpstream;
}

void SendHistory::RecordSend(SendOutcome end) {
  switch (end) {
    case SendOutcome::kNotSent:
    case SendOutcome::kOtherUpstream:
    case SendOutcome::kQuarantined:
    case SendOutcome::kOriginUnknown:
    case SendOutcome::kVersionGone:
      ++unsent;
      break;
    case SendOutcome::kNotRun:
      ++sent;
      break;
    case SendOutcome::kAnswered:
    case SendOutcome::kBroken:
    case SendOutcome::kTimedOut:
    case SendOutcome::kCallerGone:
    case SendOutcome::kStopping:
      ++sent;
      may_have_run = true;
      break;
  }
}

bool MayRetry(const fleet::Route& route, const SendHistory& history) {
  if (history.unsent >= kMaxUnsent || history.sent >= route.max_upstreams) {
    return false;
  }
  return !history.may_have_run || route.MayRunTwice();
}

int FinalStatus(const SendHistory& history, SendOutcome last) {
  if (!history.may_have_run) {
    return kUnavailable;
  }
  return last == SendOutcome::kTimedOut ? kGatewayTimeout : kBadGateway;
}

void PoolRetryBudget::RecordRequest(const base::PoolName& pool, Millis now) {
  Window& window = windows_[pool];
  Expire(window, now);
  window.requests.push_back(now);
}

bool PoolRetryBudget::TrySpend(const base::PoolName& pool,
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

void PoolRetryBudget::Expire(Window& window, Millis now) {
  const Millis oldest = now - bounds_.window;
  for (std::deque<Millis>* times : {&window.requests, &window.retries}) {
    while (!times->empty() && times->front() < oldest) {
      times->pop_front();
    }
  }
}

}  // namespace dandelion::relay
