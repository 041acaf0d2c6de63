// Plain services of unequal and changing speed behind many daemons of a few
// requests a second each, on a simulated clock. The baseline is the choice as
// it was before speeds were learned, on the same load.
#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "routing/load_exchange.h"
#include "routing/upstream_choice.h"
#include "routing/upstream_health.h"

namespace dandelion::test {
namespace {

using base::HostId;
using base::Millis;
using base::UpstreamId;
using routing::TimeSource;
using routing::UpstreamCandidate;
using routing::Work;

constexpr size_t kDaemons = 24;
constexpr size_t kServices = 4;
constexpr size_t kOrganisations = 8;
constexpr int64_t kSlots = 6;
constexpr Millis kTarget{150};
constexpr Millis kHeartbeatInterval{100};
constexpr Millis kHeartbeatDelay{100};
constexpr Millis kEnd{16'000};
// When some services are slow.
constexpr Millis kSlowFrom{4000};
constexpr Millis kSlowUntil{12'000};

/// What a request needs at a service with `running` others and itself.
using ServiceTime =
    std::function<double(size_t service, int64_t running, Millis now)>;

/// Two of four services turn four times slower for some seconds.
double TimeOfTurningSlow(size_t service, int64_t /*running*/, Millis now) {
  const bool is_slow = service < 2 && now >= kSlowFrom && now < kSlowUntil;
  return is_slow ? 120 : 30;
}

/// One of four services slows down from half fill on.
double TimeOfSlowingWhenFull(size_t service, int64_t running, Millis /*now*/) {
  return service == 0 && running > kSlots / 2 ? 240 : 30;
}

struct ReplayedShares {
  double on_time = 0;
  double served = 0;
  double worst_organisation = 1;
};

/// Daemons in front of services; each request takes a slot until its answer.
class ServiceReplay {
 public:
  ServiceReplay(uint64_t seed, bool learned, double rate, ServiceTime time)
      : random_(seed),
        learned_(learned),
        requests_per_second_(rate),
        time_(std::move(time)) {
    for (size_t i = 0; i < kDaemons; ++i) {
      daemons_.push_back(std::make_unique<Daemon>(clock_));
    }
  }

  ReplayedShares Run() {
    std::exponential_distribution<double> gap(requests_per_second_);
    constexpr double kMsPerSecond = 1000;
    double next_ms = 0;
    for (; now_ < kEnd; now_ = now_ + Millis(1)) {
      RunDue();
      for (; next_ms <= static_cast<double>(now_.count());
           next_ms += gap(random_) * kMsPerSecond) {
        Arrive();
      }
      if (now_.count() % kHeartbeatInterval.count() == 0) {
        ShareLoads();
      }
    }
    return Summarise();
  }

 private:
  struct Daemon {
    explicit Daemon(const base::Clock& clock)
        : exchange(loads, health, clock) {}
    routing::LoadTracker loads;
    routing::UpstreamHealth health{
        {[](const UpstreamId&, Millis) {}, [](const UpstreamId&) {}}};
    routing::LoadExchange exchange;
    /// What the baseline knows: this daemon's own averages, of any age.
    std::map<size_t, double> own_ms;
  };
  struct Tally {
    int asked = 0;
    int on_time = 0;
    int served = 0;
  };

  static UpstreamId IdOf(size_t service) {
    return UpstreamId("s-" + std::to_string(service));
  }

  UpstreamCandidate MakeCandidate(const Daemon& daemon, size_t service) {
    const UpstreamId id = IdOf(service);
    UpstreamCandidate candidate;
    candidate.id = id;
    candidate.same_data_centre = true;
    candidate.load = daemon.loads.TotalLoad(id);
    candidate.spread = std::uniform_real_distribution<>()(random_);
    const routing::LearnedCapacity& known =
        daemon.health.Learned(id, Work::kAnswer);
    candidate.slots = known.LimitFor(kSlots, now_);
    candidate.speed = daemon.health.SpeedOf(id, Work::kAnswer, now_);
    return candidate;
  }

  /// The choice before speeds were learned: own averages of any age, and a cost
  /// as if the requests of a service ran one after the other.
  std::optional<size_t> ChooseAsBefore(const Daemon& daemon) {
    std::optional<size_t> cheapest;
    double lowest = 0;
    for (size_t i = 0; i < kServices; ++i) {
      const int64_t running = daemon.loads.TotalLoad(IdOf(i)).running;
      constexpr double kUnknownMs = 20;
      const auto known = daemon.own_ms.find(i);
      const double ms =
          known == daemon.own_ms.end() ? kUnknownMs : known->second;
      constexpr double kSpread = 0.5;
      const double cost =
          ms * static_cast<double>(running + 1) *
          (1 + kSpread * std::uniform_real_distribution<>()(random_));
      if (running < kSlots && (!cheapest || cost < lowest)) {
        cheapest = i;
        lowest = cost;
      }
    }
    return cheapest;
  }

  std::optional<size_t> Choose(const Daemon& daemon) {
    if (!learned_) {
      return ChooseAsBefore(daemon);
    }
    std::vector<UpstreamCandidate> candidates;
    for (size_t i = 0; i < kServices; ++i) {
      candidates.push_back(MakeCandidate(daemon, i));
    }
    routing::AssumeTypicalSpeed(candidates);
    return routing::ChooseService(candidates);
  }

  void Arrive() {
    const size_t daemon = random_(kDaemons);
    // One organisation has half of the traffic.
    const size_t organisation =
        random_(2) == 0 ? 0 : 1 + random_(kOrganisations - 1);
    ++tallies_[organisation].asked;
    Place(daemon, organisation, now_);
  }

  // Places a request, or tries again soon, as a queue would.
  void Place(size_t index, size_t organisation, Millis arrived) {
    constexpr Millis kRetry{10};
    // From the pages of the customers: the deadline of a short call.
    constexpr Millis kDeadline{1500};
    if (now_ - arrived >= kDeadline) {
      return;
    }
    Daemon& daemon = *daemons_[index];
    const std::optional<size_t> service = Choose(daemon);
    if (!service) {
      due_.emplace(now_ + kRetry, [this, index, organisation, arrived] {
        Place(index, organisation, arrived);
      });
      return;
    }
    const UpstreamId id = IdOf(*service);
    routing::Load load = daemon.loads.TotalLoad(id);
    ++load.running;
    daemon.loads.Add(id, {1, 0, 0, 0});
    const int64_t running = ++running_[*service];
    // Beyond its slots a service lets requests wait for one.
    const double waits = running > kSlots ? 1 : 0;
    const double ms = time_(*service, running, now_) * (1 + waits);
    const Millis took(static_cast<int64_t>(ms));
    due_.emplace(now_ + took, [this, index, organisation, arrived, took, load,
                               service = *service] {
      Finish(index, service, organisation, arrived, took, load);
    });
  }

  void Finish(size_t index,
              size_t service,
              size_t organisation,
              Millis arrived,
              Millis took,
              const routing::Load& load) {
    Daemon& daemon = *daemons_[index];
    const UpstreamId id = IdOf(service);
    --running_[service];
    daemon.loads.Subtract(id, {1, 0, 0, 0});
    const auto ms = static_cast<double>(took.count());
    daemon.health.RecordTime(id, Work::kAnswer, TimeSource::kOwn, load, ms,
                             now_);
    const auto [own, is_new] = daemon.own_ms.emplace(service, ms);
    own->second += routing::UpstreamHealth::kNewestWeight * (ms - own->second);
    Tally& tally = tallies_[organisation];
    ++tally.served;
    tally.on_time += now_ - arrived <= kTarget ? 1 : 0;
  }

  void ShareLoads() {
    for (size_t from = 0; from < kDaemons; ++from) {
      proto::FleetBeat heartbeat;
      heartbeat.set_all_loads(true);
      daemons_[from]->exchange.AddLoads(proto::OWN, HostId(), true, &heartbeat);
      due_.emplace(now_ + kHeartbeatDelay, [this, from, heartbeat] {
        const HostId name("front-" + std::to_string(from));
        for (size_t to = 0; to < kDaemons; ++to) {
          if (to != from) {
            daemons_[to]->exchange.ApplyMemberLoads(name, heartbeat);
          }
        }
      });
    }
  }

  void RunDue() {
    while (!due_.empty() && due_.begin()->first <= now_) {
      const std::function<void()> run = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      run();
    }
  }

  ReplayedShares Summarise() const {
    ReplayedShares shares;
    Tally all;
    for (const auto& [organisation, tally] : tallies_) {
      all.asked += tally.asked;
      all.on_time += tally.on_time;
      all.served += tally.served;
      shares.worst_organisation =
          std::min(shares.worst_organisation,
                   static_cast<double>(tally.on_time) / tally.asked);
    }
    shares.on_time = static_cast<double>(all.on_time) / all.asked;
    shares.served = static_cast<double>(all.served) / all.asked;
    return shares;
  }

  pcg32 random_;
  bool learned_;
  double requests_per_second_;
  ServiceTime time_;
  Millis now_{0};
  base::Clock clock_{[this] { return now_; }};
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::map<size_t, int64_t> running_;
  std::map<size_t, Tally> tallies_;
  std::multimap<Millis, std::function<void()>> due_;
};

struct Comparison {
  ReplayedShares before;
  ReplayedShares after;

  Comparison(uint64_t seed, double rate, const ServiceTime& time)
      : before(ServiceReplay(seed, false, rate, time).Run()),
        after(ServiceReplay(seed, true, rate, time).Run()) {}

  std::string Describe() const {
    return absl::StrCat("on time ", before.on_time, " -> ", after.on_time,
                        ", served ", before.served, " -> ", after.served,
                        ", worst organisation ", before.worst_organisation,
                        " -> ", after.worst_organisation);
  }
};

// The last requests are still running at the end.
constexpr double kUnfinished = 0.005;

TEST_CASE("fewer are on time at services that turn slow than before",
          "[service_replay]") {
  double gained = 0;
  for (const uint64_t seed : {1, 2, 3}) {
    const Comparison turning(seed, 120, TimeOfTurningSlow);
    INFO(turning.Describe());
    CHECK(turning.after.on_time >= turning.before.on_time);
    CHECK(turning.after.worst_organisation >=
          turning.before.worst_organisation);
    CHECK(turning.after.served + kUnfinished >= turning.before.served);
    gained += turning.after.on_time - turning.before.on_time;
  }
  CHECK(gained > 0);
}

TEST_CASE("fewer are on time at services that slow down when full than before",
          "[service_replay]") {
  const Comparison filled(GENERATE(1, 2, 3), 420, TimeOfSlowingWhenFull);
  INFO(filled.Describe());
  CHECK(filled.after.on_time >= filled.before.on_time);
  CHECK(filled.after.worst_organisation >= filled.before.worst_organisation);
  CHECK(filled.after.served + kUnfinished >= filled.before.served);
}

// Single seeds differ by more than what is gained.
TEST_CASE("fewer are on time at services that slow down when full, on average",
          "[service_replay]") {
  constexpr uint64_t kSeeds = 12;
  double before = 0;
  double after = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Comparison filled(seed, 420, TimeOfSlowingWhenFull);
    before += filled.before.on_time;
    after += filled.after.on_time;
  }
  CHECK(after >= before);
}

// Where all services are alike and sound, nobody loses.
TEST_CASE("learning makes requests late at services that are alike",
          "[service_replay]") {
  const auto even = [](size_t, int64_t, Millis) { return 30.0; };
  const Comparison alike(GENERATE(1, 2, 3), 120, even);
  INFO(alike.Describe());
  CHECK(alike.after.on_time >= alike.before.on_time);
}

}  // namespace
}  // namespace dandelion::test
