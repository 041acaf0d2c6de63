#include "membership/reach_directory.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/text.h"
#include "http/server.h"

namespace dandelion::membership {

using base::DataCentreId;
using base::HostId;
using base::Millis;
using base::PoolName;

bool ReachDirectory::Statement::SaysTheSameAs(const Statement& other) const {
  return callers_text == other.callers_text &&
         data_centre == other.data_centre && lost_pools == other.lost_pools &&
         takes_callers == other.takes_callers;
}

ReachDirectory::ReachDirectory(HostId self,
                               DataCentreId data_centre,
                               const boost::asio::ip::tcp::endpoint& callers,
                               base::Clock clock)
    : self_(std::move(self)), clock_(std::move(clock)) {
  Statement& own = statements_[self_];
  if (!callers.address().is_unspecified() && callers.port() != 0) {
    own.callers_text =
        callers.address().to_string() + ":" + std::to_string(callers.port());
  }
  own.callers = callers;
  own.data_centre = std::move(data_centre);
}

void ReachDirectory::SetOwn(std::set<PoolName> lost_pools, bool takes_callers) {
  Statement& own = statements_[self_];
  own.stated_at = clock_.Now();
  if (own.lost_pools != lost_pools || own.takes_callers != takes_callers) {
    own.lost_pools = std::move(lost_pools);
    own.takes_callers = takes_callers;
    changed_.insert(self_);
  }
}

void ReachDirectory::AddTo(bool all, proto::FleetBeat* heartbeat) {
  const Millis now = clock_.Now();
  for (const auto& [id, statement] : statements_) {
    if (statement.callers_text.empty() || (!all && !changed_.contains(id))) {
      continue;
    }
    proto::DaemonReach* out = heartbeat->add_reaches();
    out->set_daemon(id.value());
    out->set_callers(statement.callers_text);
    out->set_data_centre(statement.data_centre.value());
    for (const PoolName& pool : statement.lost_pools) {
      out->add_lost_pools(pool.value());
    }
    out->set_takes_callers(statement.takes_callers);
    out->set_age_ms((now - statement.stated_at).count());
  }
  if (!all) {
    changed_.clear();
  }
}

std::optional<ReachDirectory::Statement> ReachDirectory::Decode(
    const proto::DaemonReach& in,
    Millis now) {
  Statement statement;
  if (!base::IsValidName(in.daemon()) || !base::IsValidName(in.data_centre()) ||
      in.lost_pools_size() > kMaxPools ||
      !http::ParseEndpoint(in.callers(), &statement.callers)) {
    return std::nullopt;
  }
  statement.callers_text = in.callers();
  statement.data_centre = DataCentreId(in.data_centre());
  for (const std::string& pool : in.lost_pools()) {
    statement.lost_pools.emplace(pool);
  }
  statement.takes_callers = in.takes_callers();
  statement.stated_at = now - base::AgeFromPeer(in.age_ms());
  return statement;
}

void ReachDirectory::Apply(const proto::FleetBeat& heartbeat) {
  const Millis now = clock_.Now();
  const int count = std::min(heartbeat.reaches_size(), kMaxStatements);
  for (int i = 0; i < count; ++i) {
    const std::optional<Statement> statement =
        Decode(heartbeat.reaches(i), now);
    const HostId id(heartbeat.reaches(i).daemon());
    if (!statement || id == self_ || now - statement->stated_at > kLifetime) {
      continue;
    }
    const auto [known, is_new] = statements_.try_emplace(id);
    if (!is_new && statement->stated_at <= known->second.stated_at) {
      continue;
    }
    if (is_new || !statement->SaysTheSameAs(known->second)) {
      changed_.insert(id);
    }
    known->second = *statement;
  }
}

void ReachDirectory::Prune() {
  const Millis now = clock_.Now();
  std::erase_if(statements_, [&](const auto& item) {
    return item.first != self_ && now - item.second.stated_at > kLifetime;
  });
  std::erase_if(changed_,
                [&](const HostId& id) { return !statements_.contains(id); });
  std::erase_if(failed_at_, [&](const auto& item) {
    return now - item.second > kFailurePause;
  });
}

int ReachDirectory::InProgressAt(const HostId& id) const {
  const auto known = in_progress_.find(id);
  return known == in_progress_.end() ? 0 : known->second;
}

bool ReachDirectory::IsTarget(const HostId& id,
                              const Statement& statement,
                              const PoolName& pool) const {
  const Millis now = clock_.Now();
  const auto failed = failed_at_.find(id);
  const bool pauses =
      failed != failed_at_.end() && now - failed->second <= kFailurePause;
  return id != self_ && statement.takes_callers && !pauses &&
         now - statement.stated_at <= kLifetime &&
         !statement.lost_pools.contains(pool);
}

std::optional<ReachDirectory::Peer> ReachDirectory::Choose(
    const PoolName& pool,
    const std::set<HostId>& excluded,
    const std::function<double()>& random) const {
  const DataCentreId& own = statements_.at(self_).data_centre;
  std::optional<Peer> best;
  double best_cost = 0;
  for (const auto& [id, statement] : statements_) {
    if (excluded.contains(id) || !IsTarget(id, statement, pool)) {
      continue;
    }
    const int handicap = statement.data_centre == own ? 0 : kRemoteHandicap;
    // The random part decides between equal ones only.
    const double cost = InProgressAt(id) + handicap + random();
    if (!best || cost < best_cost) {
      best = Peer{id, statement.callers};
      best_cost = cost;
    }
  }
  return best;
}

bool ReachDirectory::HasPeer(const PoolName& pool) const {
  return std::any_of(statements_.begin(), statements_.end(),
                     [&](const auto& item) {
                       return IsTarget(item.first, item.second, pool);
                     });
}

void ReachDirectory::Begin(const HostId& id) {
  ++in_progress_[id];
}

void ReachDirectory::End(const HostId& id) {
  if (--in_progress_[id] <= 0) {
    in_progress_.erase(id);
  }
}

void ReachDirectory::RecordFailure(const HostId& id) {
  failed_at_[id] = clock_.Now();
}

}  // namespace dandelion::membership
