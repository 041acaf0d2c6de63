#include "claims/claim_table.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"

namespace dandelion::claims {
namespace {

using base::Offset;
using nlohmann::json;

json ToJson(const ClaimStep& step) {
  json out = {{"identity", absl::Base64Escape(step.identity)},
              {"attempt", step.attempt}};
  switch (step.kind) {
    case ClaimStep::Kind::kClaim:
      out["step"] = "claim";
      out["host"] = step.host.value();
      out["incarnation"] = step.incarnation.value();
      out["fingerprint"] = step.fingerprint;
      break;
    case ClaimStep::Kind::kRelease:
      out["step"] = "release";
      break;
    case ClaimStep::Kind::kOutcome:
      out["step"] = "outcome";
      out["known"] = step.outcome.known;
      out["status"] = step.outcome.status;
      out["content_type"] = step.outcome.content_type;
      out["body"] = absl::Base64Escape(step.outcome.body);
      break;
  }
  return out;
}

ClaimStep FromJson(const json& in) {
  ClaimStep step;
  absl::Base64Unescape(in.at("identity").get<std::string>(), &step.identity);
  step.attempt = in.at("attempt");
  const std::string kind = in.at("step");
  if (kind == "claim") {
    step.host = base::HostId(in.at("host"));
    step.incarnation = base::Incarnation(in.at("incarnation"));
    step.fingerprint = in.at("fingerprint");
  } else if (kind == "release") {
    step.kind = ClaimStep::Kind::kRelease;
  } else {
    step.kind = ClaimStep::Kind::kOutcome;
    step.outcome.known = in.at("known");
    step.outcome.status = in.at("status");
    step.outcome.content_type = in.at("content_type");
    absl::Base64Unescape(in.at("body").get<std::string>(), &step.outcome.body);
  }
  return step;
}

}  // namespace

std::string RequestIdentity::ToKey() const {
  return json({organisation.value(), route.value(), key})
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string EncodeSteps(const std::vector<ClaimStep>& steps) {
  json out = json::array();
  for (const ClaimStep& step : steps) {
    out.push_back(ToJson(step));
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<ClaimStep> DecodeSteps(std::string_view text) {
  std::vector<ClaimStep> steps;
  try {
    for (const json& step : json::parse(text)) {
      steps.push_back(FromJson(step));
    }
  } catch (const json::exception&) {
    return {};
  }
  return steps;
}

void ClaimTable::Apply(Offset offset, std::string_view record) {
  if (offset < next_offset_) {
    return;
  }
  next_offset_ = offset + Offset(1);
  for (ClaimStep& step : DecodeSteps(record)) {
    ApplyStep(offset, std::move(step));
  }
}

void ClaimTable::ApplyStep(Offset offset, ClaimStep step) {
  const std::string identity = step.identity;
  const auto found = claims_.find(identity);
  const bool exists = found != claims_.end();
  const bool by_winner =
      exists && found->second.claim.winner.attempt == step.attempt;
  switch (step.kind) {
    case ClaimStep::Kind::kClaim:
      if (exists) {
        return;
      }
      claims_[identity] = Entry{Claim{std::move(step), false, {}}, offset};
      break;
    case ClaimStep::Kind::kRelease:
      if (by_winner && !found->second.claim.finished) {
        claims_.erase(found);
      }
      return;
    case ClaimStep::Kind::kOutcome:
      // The log may have dropped the claim already; the outcome then creates
      // the entry.
      if (exists && (!by_winner || found->second.claim.finished)) {
        return;
      }
      Entry& entry = claims_[identity];
      entry.claim.outcome = step.outcome;
      entry.claim.finished = true;
      if (!exists) {
        entry.claim.winner = std::move(step);
      }
      entry.last_offset = offset;
      break;
  }
  identities_by_offset_.emplace(offset, identity);
}

void ClaimTable::RemoveOlderThan(Offset first_kept) {
  while (!identities_by_offset_.empty() &&
         identities_by_offset_.begin()->first < first_kept) {
    const auto oldest = identities_by_offset_.begin();
    const auto found = claims_.find(oldest->second);
    if (found != claims_.end() && found->second.last_offset == oldest->first) {
      claims_.erase(found);
    }
    identities_by_offset_.erase(oldest);
  }
}

const Claim* ClaimTable::Find(const std::string& identity) const {
  const auto found = claims_.find(identity);
  return found == claims_.end() ? nullptr : &found->second.claim;
}

}  // namespace dandelion::claims
