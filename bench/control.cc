#include <benchmark/benchmark.h>
#include <malloc.h>
#include <sodium.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "admission/length_model.h"
#include "admission/slot_owner.h"
#include "claims/claim_table.h"
#include "config/config_state.h"
#include "config/rows.h"
#include "membership/membership.h"
#include "membership/mesh.h"
#include "routing/load_exchange.h"
#include "routing/slot_choice.h"
#include "routing/upstream_model.h"
#include "telemetry/events.h"

namespace dandelion {
namespace {

using base::DataCentreId;
using base::HostId;
using base::Millis;
using base::Offset;
using base::Slots;
using base::UpstreamId;

// These benchmarks measure how the cost of the control plane grows with its
// size, for docs/CAPACITY.md. Each runs at three sizes at least. The counter
// `bytes` is heap memory in the Memory benchmarks, and the encoded size of one
// record in the others.

/// Returns the heap memory in use, in bytes.
size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string UpstreamRow(int64_t i, int slots) {
  return absl::StrCat(R"({"id":"engine-)", i,
                      R"(","address":"127.0.0.1:9000","data_centre":"dc-)",
                      i % 24, R"(","slots":)", slots,
                      R"(,"cold_slots":2,"pool":"p"})");
}

/// Returns the configuration of one pool with `upstreams` upstreams.
config::ConfigState MakeConfigState(int64_t upstreams) {
  config::ConfigRecord record;
  record.changes.push_back(
      {"pool/p", Offset(0), R"({"name":"p","kind":"engine"})"});
  for (int64_t i = 0; i < upstreams; ++i) {
    record.changes.push_back(
        {absl::StrCat("upstream/engine-", i), Offset(0), UpstreamRow(i, 16)});
  }
  config::ConfigState config_state;
  config_state.Apply(Offset(1), config::EncodeConfigRecord(record));
  return config_state;
}

// Encodes and applies an accepted record that changes the row of one upstream.
void ConfigChange(benchmark::State& state) {
  config::ConfigState config_state = MakeConfigState(state.range(0));
  int64_t offset = 2;
  size_t bytes = 0;
  for (auto _ : state) {
    config::ConfigRecord record;
    record.publish_id = "0123456789abcdef0123456789abcdef";
    record.changes.push_back(
        {"upstream/engine-7",
         config_state.rows().at("upstream/engine-7").version,
         UpstreamRow(7, 16 + offset % 2)});
    const std::string text = config::EncodeConfigRecord(record);
    bytes = text.size();
    config_state.Apply(Offset(offset++), text);
    benchmark::DoNotOptimize(config_state.tables());
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(ConfigChange)
    ->Arg(458)
    ->Arg(2750)
    ->Arg(11000)
    ->Unit(benchmark::kMicrosecond);

// Memory of a configuration with its joined tables, and the size of its
// snapshot record.
void ConfigMemory(benchmark::State& state) {
  for (auto _ : state) {
    const size_t before = HeapBytes();
    const config::ConfigState config_state = MakeConfigState(state.range(0));
    const auto tables = config_state.tables();
    state.counters["bytes"] = static_cast<double>(HeapBytes() - before);
    state.counters["snapshot_bytes"] = static_cast<double>(
        config::EncodeConfigRecord(config_state.Snapshot()).size());
  }
}
BENCHMARK(ConfigMemory)
    ->Arg(458)
    ->Arg(2750)
    ->Arg(11000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

std::vector<membership::Member> MakeMembers(int64_t data_centres) {
  constexpr int64_t kHostsPerDataCentre = 18;
  std::vector<membership::Member> members;
  for (int64_t data_centre_index = 0; data_centre_index < data_centres;
       ++data_centre_index) {
    for (int64_t host_index = 0; host_index < kHostsPerDataCentre;
         ++host_index) {
      members.push_back(
          {HostId(absl::StrCat("host-", data_centre_index, "-", host_index)),
           DataCentreId(absl::StrCat("dc-", data_centre_index))});
    }
  }
  return members;
}

// One heartbeat interval of one host: receives a heartbeat from every member of
// its data centre, and every fifth interval one from a remote member, then
// sends its own.
void Heartbeats(benchmark::State& state) {
  std::vector<membership::Member> members = MakeMembers(state.range(0));
  const membership::Member self = members.front();
  members.erase(members.begin());
  Millis now(0);
  size_t messages = 0;
  size_t bytes = 0;
  size_t intervals = 0;
  membership::Membership::Hooks hooks;
  hooks.send = [&](const HostId&, const proto::Envelope& message) {
    ++messages;
    bytes += message.SerializeAsString().size();
  };
  hooks.on_change = [](const HostId&, bool) {};
  hooks.config_version = [] { return Offset(1); };
  hooks.on_newer_config = [](const HostId&) {};
  membership::Membership local_member(self, base::Incarnation("run"), members,
                                      base::Clock([&now] { return now; }),
                                      hooks);
  proto::Heartbeat heartbeat;
  heartbeat.set_config_version(1);
  // A local heartbeat forwards the summaries that its sender received from
  // other data centres. The load assumes 8 messages per data centre and
  // interval, each received by one of the 18 local hosts.
  const int64_t summary_count = (state.range(0) * 8 + 17) / 18;
  for (int64_t i = 0; i < summary_count; ++i) {
    proto::DataCentreSummary& summary = *heartbeat.add_summaries();
    for (uint32_t host_index = 0; host_index < 18; ++host_index) {
      summary.add_alive(host_index);
    }
  }
  for (auto _ : state) {
    now = now + membership::Membership::kHeartbeatInterval;
    for (const membership::Member& member : members) {
      if (member.data_centre == self.data_centre) {
        local_member.OnHeartbeat(member.id, base::Incarnation("run"),
                                 heartbeat);
      }
    }
    if (++intervals % 5 == 0) {
      const membership::Member& remote = members[members.size() - 1];
      local_member.OnHeartbeat(remote.id, base::Incarnation("run"), heartbeat);
    }
    local_member.Tick();
  }
  const double seconds = static_cast<double>(intervals) *
                         membership::Membership::kHeartbeatInterval.seconds();
  state.counters["messages_per_s"] = static_cast<double>(messages) / seconds;
  state.counters["bytes_per_s"] = static_cast<double>(bytes) / seconds;
}
BENCHMARK(Heartbeats)->Arg(3)->Arg(8)->Arg(24)->Unit(benchmark::kMicrosecond);

constexpr int kFleetDataCentres = 5;
constexpr int kFleetUpstreams = 47;

membership::DaemonInfo MakeFleetDaemon(int64_t index) {
  const std::string name = absl::StrCat("front-", index);
  return {HostId(name), name,
          DataCentreId(absl::StrCat("dc-", index % kFleetDataCentres)),
          index < kFleetDataCentres ? 500 : 90};
}

UpstreamId FleetUpstream(int64_t index) {
  return UpstreamId(absl::StrCat("i-0123456789-", index % kFleetUpstreams));
}

/// Daemon 0 of a fleet, which is the first delegate of its data centre, and the
/// loads that it tracks.
struct FleetDelegate {
  Millis now{0};
  routing::LoadTracker loads;
  routing::UpstreamHealth health{
      {[](const UpstreamId&, Millis) {}, [](const UpstreamId&) {}}};
  routing::LoadExchange exchange{loads, health,
                                 base::Clock([this] { return now; })};
  store::TopicReplica replica;
  size_t messages = 0;
  size_t bytes = 0;
  membership::Mesh mesh{MakeFleetDaemon(0), base::Clock([this] { return now; }),
                        membership::AnswerBudget::kDefaultBytesPerSecond,
                        MakeHooks()};

  membership::Mesh::Hooks MakeHooks() {
    membership::Mesh::Hooks hooks;
    hooks.send = [this](const HostId&, const proto::Envelope& message) {
      ++messages;
      bytes += message.SerializeAsString().size();
    };
    hooks.connect = [](const membership::PeerAddress&) {};
    hooks.disconnect = [](const HostId&) {};
    hooks.replica = [this](store::Topic) -> const store::TopicReplica& {
      return replica;
    };
    hooks.on_update = [](store::Topic, const store::Update&, Millis) {
      return std::vector<store::Record>();
    };
    hooks.start_load_round = [this] { exchange.StartRound(); };
    hooks.loads_changed = [this] { return exchange.HasChanges(); };
    hooks.add_loads = [this](proto::LoadScope scope, const HostId& receiver,
                             bool all, proto::FleetBeat* heartbeat) {
      exchange.AddLoads(scope, receiver, all, heartbeat);
    };
    hooks.on_member_loads = [this](const HostId& from,
                                   const proto::FleetBeat& heartbeat) {
      exchange.ApplyMemberLoads(from, heartbeat);
    };
    hooks.on_data_centre_loads = [this](const DataCentreId& data_centre,
                                        const proto::FleetBeat& heartbeat) {
      exchange.ApplyDataCentreLoads(data_centre, heartbeat);
    };
    hooks.on_fleet_loads = [](const proto::FleetBeat&) {};
    hooks.on_member_down = [](const HostId&) {};
    hooks.on_data_centre_down = [](const DataCentreId&) {};
    hooks.on_fleet_loads_lost = [] {};
    hooks.on_following = [](bool) {};
    hooks.part_evidence = [](bool) { return proto::PartEvidence(); };
    hooks.has_new_part_evidence = [] { return false; };
    hooks.on_part_evidence = [](const HostId&, const proto::PartEvidence&) {};
    hooks.add_self_reports = [](bool, proto::FleetBeat*) {};
    hooks.has_new_self_reports = [] { return false; };
    hooks.on_self_reports = [](const proto::FleetBeat&) {};
    hooks.is_reader = [](store::Topic) { return false; };
    hooks.store_slow = [] { return false; };
    return hooks;
  }
};

/// Returns a report of daemon `index` with one changed load.
proto::Envelope MakeReport(int64_t index, int64_t round) {
  const membership::DaemonInfo daemon = MakeFleetDaemon(index);
  proto::Envelope message;
  proto::FleetBeat& heartbeat = *message.mutable_fleet_beat();
  heartbeat.set_data_centre(daemon.data_centre.value());
  heartbeat.set_address(daemon.address);
  heartbeat.set_capacity(daemon.capacity);
  heartbeat.set_reports(true);
  heartbeat.set_follows(index % 2 == 0);
  proto::UpstreamLoad& load = *heartbeat.add_loads();
  load.set_upstream(FleetUpstream(index + round).value());
  load.set_running(1 + round % 3);
  load.set_tokens(3000);
  return message;
}

// One second of a delegate: each daemon of its data centre changes a load three
// times a second and sends a heartbeat three times; the fleet has as many
// daemons as the argument says, in five data centres.
void DelegateSecond(benchmark::State& state) {
  telemetry::SetMinLevel(telemetry::Level::kError);
  FleetDelegate delegate;
  constexpr Millis kTick(30);
  constexpr Millis kReportInterval(150);
  size_t seconds = 0;
  int64_t round = 0;
  for (auto _ : state) {
    const Millis end = delegate.now + Millis(1000);
    Millis next_report = delegate.now;
    for (; delegate.now < end; delegate.now = delegate.now + kTick) {
      if (delegate.now >= next_report) {
        next_report = next_report + kReportInterval;
        ++round;
        for (int64_t i = kFleetDataCentres; i < state.range(0);
             i += kFleetDataCentres) {
          delegate.mesh.OnMessage(MakeFleetDaemon(i).id, MakeReport(i, round));
        }
      }
      delegate.mesh.Tick();
    }
    ++seconds;
  }
  state.counters["messages_per_s"] =
      static_cast<double>(delegate.messages) / static_cast<double>(seconds);
  state.counters["bytes_per_s"] =
      static_cast<double>(delegate.bytes) / static_cast<double>(seconds);
}
BENCHMARK(DelegateSecond)
    ->Arg(10)
    ->Arg(62)
    ->Arg(195)
    ->Arg(440)
    ->Unit(benchmark::kMicrosecond);

// Looks up the load on all upstreams, and this daemon's rank for each, in a
// fleet of this many daemons: what a choice asks of the fleet.
void FleetChoice(benchmark::State& state) {
  routing::LoadTracker loads;
  membership::Roster roster(MakeFleetDaemon(0),
                            base::Clock([] { return Millis(1000); }));
  std::set<membership::DaemonHash> alive;
  for (int64_t i = 1; i < state.range(0); ++i) {
    const membership::DaemonInfo daemon = MakeFleetDaemon(i);
    alive.insert(membership::HashDaemon(daemon.id));
    for (int64_t k = 0; k < kFleetUpstreams; ++k) {
      loads.SetMemberLoad(daemon.id, FleetUpstream(k), {1, 3000, 0, 0});
    }
  }
  roster.SetView(DataCentreId("dc-1"), HostId("front-1"), alive, Millis(0));
  roster.Update();
  int64_t sum = 0;
  for (auto _ : state) {
    for (int64_t k = 0; k < kFleetUpstreams; ++k) {
      const UpstreamId id = FleetUpstream(k);
      sum += loads.TotalLoad(id).running +
             static_cast<int64_t>(roster.RankFor(id.value()));
    }
    benchmark::DoNotOptimize(sum);
  }
}
BENCHMARK(FleetChoice)
    ->Arg(8)
    ->Arg(62)
    ->Arg(195)
    ->Arg(440)
    ->Unit(benchmark::kMicrosecond);

// One round of slot requests, one for each upstream of one slot owner.
void SlotRound(benchmark::State& state) {
  Millis now(10'000);
  admission::SlotOwner owner(base::Clock([&now] { return now; }));
  std::vector<UpstreamId> upstreams;
  for (int64_t i = 0; i < state.range(0); ++i) {
    upstreams.emplace_back(absl::StrCat("engine-", i));
    owner.AddUpstream(upstreams.back(), {Slots(32), Slots(2)}, true);
    admission::UpstreamReport report;
    report.reachable = true;
    report.incarnation = base::Incarnation("run");
    owner.OnReport(upstreams.back(), report);
  }
  uint64_t round = 0;
  for (auto _ : state) {
    ++round;
    for (const UpstreamId& upstream : upstreams) {
      admission::SlotAsk ask;
      ask.upstream = upstream;
      ask.in_flight = Slots(2);
      ask.needed = Slots(3);
      ask.successes = 1;
      benchmark::DoNotOptimize(owner.OnAsk(
          HostId(absl::StrCat("host-", round % 18)), round, ask, 18, 18));
    }
  }
}
BENCHMARK(SlotRound)->Arg(8)->Arg(26)->Arg(104)->Unit(benchmark::kMicrosecond);

// Chooses among the upstreams of one data centre.
void Choice(benchmark::State& state) {
  admission::LengthModel lengths;
  const admission::LengthGroup group{base::OrganisationId("o"),
                                     base::RouteName("r"), "long"};
  for (int i = 1; i < 1000; ++i) {
    lengths.Observe(group, i);
  }
  std::vector<routing::SlotCandidate> candidates;
  for (int64_t i = 0; i < state.range(0); ++i) {
    routing::SlotCandidate candidate;
    candidate.id = UpstreamId(absl::StrCat("engine-", i));
    candidate.free_slots = 4;
    candidate.memory_total = 40'000;
    candidate.headroom = 20'000;
    candidate.occupancy =
        admission::GenerationOccupancy(lengths.Survival(group, 10), 2000);
    candidates.push_back(candidate);
  }
  routing::ChoiceRequest request;
  request.prompt_tokens = 500;
  for (auto _ : state) {
    request.survival = lengths.Survival(group, 0);
    request.expected_tokens = lengths.MeanRemaining(group, 0);
    benchmark::DoNotOptimize(
        routing::ChooseUpstream(request, candidates, false));
  }
}
BENCHMARK(Choice)->Arg(11)->Arg(64)->Arg(458)->Unit(benchmark::kMicrosecond);

// Memory of the length model by number of length groups.
void LengthMemory(benchmark::State& state) {
  for (auto _ : state) {
    const size_t before = HeapBytes();
    admission::LengthModel lengths;
    for (int64_t i = 0; i < state.range(0); ++i) {
      lengths.Observe({base::OrganisationId(absl::StrCat("organisation-", i)),
                       base::RouteName("accord-draft"), "long"},
                      100);
    }
    state.counters["bytes"] = static_cast<double>(HeapBytes() - before);
  }
}
BENCHMARK(LengthMemory)
    ->Arg(1000)
    ->Arg(10000)
    ->Arg(43000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Updates the predicted memory of one upstream from its running generations.
void OccupancyRefresh(benchmark::State& state) {
  admission::LengthModel lengths;
  const admission::LengthGroup group{base::OrganisationId("o"),
                                     base::RouteName("r"), "long"};
  for (int i = 1; i < 1000; ++i) {
    lengths.Observe(group, i);
  }
  routing::UpstreamModel model;
  for (int64_t i = 0; i < state.range(0); ++i) {
    model.Add(static_cast<uint64_t>(i), {group, 500, i * 7}, lengths);
  }
  for (auto _ : state) {
    model.Refresh(lengths);
  }
}
BENCHMARK(OccupancyRefresh)
    ->Arg(1)
    ->Arg(4)
    ->Arg(16)
    ->Unit(benchmark::kMicrosecond);

// Encodes and applies a record of claims, each followed by its outcome.
void ClaimFolding(benchmark::State& state) {
  claims::ClaimTable claim_table;
  int64_t offset = 1;
  int64_t key = 0;
  const size_t before = HeapBytes();
  size_t bytes = 0;
  for (auto _ : state) {
    std::vector<claims::ClaimStep> steps;
    for (int64_t i = 0; i < state.range(0); ++i) {
      claims::ClaimStep step;
      step.identity =
          absl::StrCat(R"(["organisation","route","key-)", ++key, R"("])");
      step.attempt = "0123456789abcdef0123456789abcdef";
      step.host = HostId("host-1");
      step.fingerprint = step.attempt;
      steps.push_back(step);
      step.kind = claims::ClaimStep::Kind::kOutcome;
      step.outcome = {true, 201, "application/json", R"({"number": 77})"};
      steps.push_back(step);
    }
    const std::string record = claims::EncodeSteps(steps);
    bytes = record.size();
    claim_table.Apply(Offset(offset++), record);
  }
  state.counters["bytes"] = static_cast<double>(bytes);
  state.counters["bytes_per_claim"] =
      static_cast<double>(HeapBytes() - before) / static_cast<double>(key);
}
BENCHMARK(ClaimFolding)
    ->Arg(1)
    ->Arg(8)
    ->Arg(64)
    ->Iterations(500)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace dandelion

BENCHMARK_MAIN();
