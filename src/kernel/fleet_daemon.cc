#include "kernel/fleet_daemon.h"

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "admission/part_exchange.h"
#include "admission/part_quarantine.h"
#include "admission/stop_deadline.h"
#include "fleet/fleet_state.h"
#include "fleet/version_history.h"
#include "http/server.h"
#include "kernel/connection_limit.h"
#include "kernel/loop_monitor.h"
#include "kernel/peer_traffic.h"
#include "kernel/quarantine_hooks.h"
#include "kernel/quarantine_records.h"
#include "kernel/registry.h"
#include "kernel/rollout_service.h"
#include "kernel/serving_telemetry.h"
#include "membership/mesh.h"
#include "membership/reach_directory.h"
#include "membership/transport.h"
#include "relay/forwarder.h"
#include "relay/hand_over.h"
#include "relay/stream_origins.h"
#include "routing/load_exchange.h"
#include "routing/self_report_exchange.h"
#include "routing/self_reports.h"
#include "routing/upstream_reach.h"
#include "store/follower.h"
#include "store/reader_election.h"
#include "telemetry/events.h"
#include "telemetry/metrics.h"

namespace dandelion::kernel {
namespace {

using base::HostId;
using base::Millis;
using base::Task;
using base::UpstreamId;
using store::Topic;
using telemetry::Emit;
using telemetry::Event;

constexpr size_t kMetricOrganisations = 50;
// Path of the roll-outs, beside the metrics.
constexpr std::string_view kRolloutsPath = "/rollouts";
// How often the daemon sends to peers, dispatches waiting requests and takes
// part in the reader election.
constexpr Millis kTickInterval{30};
constexpr Millis kJoinRetryInterval{1000};
// Time that seeds have to answer before the store is asked for other daemons.
constexpr Millis kSeedPatience{1500};
// Time that seeds have to name larger hosts before this daemon takes itself for
// a delegate and reads the store.
constexpr Millis kFirstReadDelay{250};
// Share of the host's link that answers to pulls of records may take.
constexpr double kAnswerLinkShare = 0.4;
// The store counts as silent if the upstreams' topic was last verified longer
// ago than this; engines are then polled for their own reports.
constexpr Millis kStoreSilentAfter{1200};
constexpr Millis kEngineReportInterval{300};
constexpr Millis kVersionRecordInterval{1000};
// Not ready if the configuration was last verified longer ago than this.
constexpr Millis kMaxReadyConfigAge{3500};
// A drain lasts at least this long, within `stop_grace`, because callers may
// still send requests until the load balancer has noticed that readiness fails.
constexpr Millis kMinDrainTime{2300};
// The drain ends this long before the end of `stop_grace`, when the process is
// killed.
constexpr Millis kDrainEndMargin{500};
// Accepted requests must be answered this long before the drain ends, so that
// those that are late can still be given a final answer.
constexpr Millis kFinalAnswerTime{200};
// Answers are given at least so many turns of the event loop, also if it lags.
constexpr int kMinFinalChecks = 4;
constexpr Millis kDrainCheckInterval{20};
// Callers may still go by the idle timeout of an earlier configuration.
constexpr Millis kIdleTimeoutMargin{3000};

}  // namespace

class FleetDaemon::Impl {
 public:
  Impl(const base::Executor& executor,
       FleetSettings settings,
       PlatformAdapter adapter)
      : executor_(executor),
        settings_(std::move(settings)),
        adapter_(std::move(adapter)),
        clock_(base::Clock::BootTime()),
        started_at_(clock_.Now()),
        metrics_(kMetricOrganisations),
        upstreams_(UpstreamHooks()),
        fleet_state_(clock_, upstreams_, FleetStateHooks()),
        elections_{store::ReaderElection(settings_.host),
                   store::ReaderElection(settings_.host)},
        follower_(clock_, adapter_.store, FollowerHooks()),
        health_(HealthHooks()),
        load_exchange_(loads_, health_, clock_),
        peer_traffic_(clock_, metrics_),
        rollouts_(settings_.host,
                  clock_,
                  upstreams_,
                  {settings_.rollout_share, settings_.rollout_slack},
                  adapter_.statuses,
                  adapter_.rollout_status,
                  metrics_,
                  RolloutHooks()),
        mesh_(SelfInfo(), clock_, AnswerBytesPerSecond(), MeshHooks()),
        quarantine_(settings_.host, MakeQuarantineHooks(metrics_)),
        quarantine_records_(clock_,
                            quarantine_,
                            adapter_.quarantines,
                            [this] { return ActsForFleet(); }),
        origins_(executor,
                 clock_,
                 adapter_.stream_origins,
                 {base::UnixNowMs, [this] { return OriginCallsPerSecond(); },
                  [this] { return ActsForFleet(); }}),
        self_reports_(SelfReportHooks()),
        placer_(clock_,
                settings_.data_centre,
                upstreams_,
                loads_,
                health_,
                self_reports_,
                {[this](const UpstreamId& id) { return RankFor(id); },
                 [this] { return spread_(random_); },
                 [this](const base::PoolName& pool) {
                   return rollouts_.rollouts().RuleFor(pool, clock_.Now());
                 },
                 [this](const UpstreamId& id, int64_t limit, int64_t slots) {
                   metrics_.SetUpstreamLimit(id, static_cast<double>(limit));
                   Emit(Event::kUpstreamLimitLearned,
                        {{"upstream", id.value()},
                         {"limit", absl::StrCat(limit)},
                         {"slots", absl::StrCat(slots)}});
                 }}),
        reach_(ReachHooks()),
        reach_directory_(settings_.host,
                         settings_.data_centre,
                         settings_.callers,
                         clock_),
        hand_over_{reach_, reach_directory_,
                   [this] { return spread_(random_); }},
        migrator_(executor, clock_, adapter_.engines, MigratorHooks()),
        retry_budget_(RetryBounds()),
        forwarder_(
            {executor, clock_, adapter_.protocol, placer_, migrator_,
             adapter_.engines, health_, self_reports_, retry_budget_, metrics_,
             stop_, quarantine_, rollouts_.rollouts(), origins_,
             [this] { return mesh_.DaemonCount(); },
             [this] { return MakeAdmissionState(); },
             [this](const base::PoolName& pool, Millis since, Millis until) {
               return OnlyVersion(pool, since, until);
             },
             [this] { return UpstreamsVerifiedAt(); }, &hand_over_}),
        caller_server_(
            executor,
            CallerLimits(),
            [this](http::Exchange& exchange) {
              return forwarder_.Handle(exchange);
            },
            MakeCallerServerHooks(
                metrics_,
                clock_,
                [this] { return caller_server_.connections(); })),
        readiness_server_(executor,
                          http::ServerLimits(),
                          [this](http::Exchange& exchange) {
                            return HandleReadiness(exchange);
                          }),
        metrics_server_(executor,
                        http::ServerLimits(),
                        [this](http::Exchange& exchange) {
                          return HandleMetrics(exchange);
                        }),
        loop_monitor_(clock_, [this](Millis lag) { OnLoopCheck(lag); }) {
    AddServices();
  }

  absl::Status Start() {
    Emit(Event::kDaemonStarted,
         {{"host", settings_.host.value()},
          {"data_centre", settings_.data_centre.value()}});
    return registry_.Start();
  }

  void Reload(const FleetSettings& settings) {
    settings_.store = settings.store;
    settings_.strict_max_key_age = settings.strict_max_key_age;
    settings_.strict_keys = settings.strict_keys;
    settings_.change_delay = settings.change_delay;
    settings_.retry_ratio = settings.retry_ratio;
    settings_.retry_slack = settings.retry_slack;
    settings_.retry_window = settings.retry_window;
    settings_.stop_grace = settings.stop_grace;
    retry_budget_.SetBounds(RetryBounds());
    Emit(
        Event::kSettingsReloaded,
        {{"key_trust_ms", absl::StrCat(settings_.strict_max_key_age.count())}});
  }

  Task<void> Drain() {
    const Millis started = clock_.Now();
    stop_.Set(started + settings_.stop_grace - kDrainEndMargin -
              kFinalAnswerTime);
    mesh_.SetDraining();
    caller_server_.DisableKeepAlive();
    Emit(Event::kDrainStarted,
         {{"in_flight", absl::StrCat(caller_server_.in_flight())}});
    bool ended = false;
    while (!ended && stop_.TimeLeft(clock_.Now()) > Millis(0)) {
      co_await base::SleepFor(kDrainCheckInterval);
      forwarder_.RejectUnsendable();
      // The load balancer sends new connections to other daemons by then.
      if (clock_.Now() - started >= kMinDrainTime) {
        caller_server_.CloseIdle();
        ended = caller_server_.in_flight() == 0;
      }
    }
    co_await GiveFinalAnswers();
    forwarder_.LogUnfinished();
    if (caller_server_.arriving() > 0) {
      Emit(Event::kConnectionsDropped,
           {{"count", absl::StrCat(caller_server_.arriving())}});
    }
    Emit(caller_server_.in_flight() == 0 ? Event::kDrainFinished
                                         : Event::kDrainTimedOut,
         {{"cut", absl::StrCat(caller_server_.in_flight())}});
  }

 private:
  // Ends what is still unanswered and waits for the answers to be sent, and for
  // the last of those that have begun.
  Task<void> GiveFinalAnswers() {
    const Millis end = clock_.Now() + kFinalAnswerTime;
    for (int checks = 0; caller_server_.in_flight() > 0; ++checks) {
      if (checks >= kMinFinalChecks && clock_.Now() >= end) {
        break;
      }
      forwarder_.EndUnanswered();
      co_await base::SleepFor(kDrainCheckInterval);
    }
  }

  void AddServices() {
    registry_.Add("mesh", &mesh_,
                  {[this] { return OpenTransport(); }, nullptr});
    registry_.Add("follower", &follower_,
                  {[this] { return StartTasks(); }, nullptr});
    registry_.Add(
        "readiness", &readiness_server_,
        {[this] {
           return readiness_server_.BindAndAccept(settings_.readiness);
         },
         nullptr});
    registry_.Add(
        "metrics", &metrics_server_,
        {[this] { return metrics_server_.BindAndAccept(settings_.metrics); },
         nullptr});
    registry_.Add(
        "callers", &caller_server_,
        {[this] { return caller_server_.BindAndAccept(settings_.callers); },
         nullptr});
  }

  absl::Status StartTasks() {
    const auto start = [this](std::function<Task<void>()> make_task) {
      base::SpawnRestarting(executor_, std::move(make_task));
    };
    start([this] { return follower_.FollowTopic(Topic::kOperator); });
    start([this] { return follower_.FollowTopic(Topic::kUpstreams); });
    start([this] { return JoinMesh(); });
    start([this] { return RunPeriodicTasks(); });
    start([this] { return PollEngineReports(); });
    start([this] { return loop_monitor_.Run(); });
    start([this] { return rollouts_.KeepRecords(); });
    start([this] { return quarantine_records_.Keep(); });
    start([this] { return origins_.Keep(); });
    return absl::OkStatus();
  }

  membership::DaemonInfo SelfInfo() const {
    constexpr double kThousandths = 1000;
    return {settings_.host, settings_.peer_address, settings_.data_centre,
            static_cast<int64_t>(settings_.processor_share * kThousandths)};
  }

  int64_t AnswerBytesPerSecond() const {
    constexpr double kBytesPerMegabit = 1e6 / 8;
    if (settings_.link_mbps <= 0) {
      return membership::AnswerBudget::kDefaultBytesPerSecond;
    }
    return static_cast<int64_t>(settings_.link_mbps * kBytesPerMegabit *
                                kAnswerLinkShare);
  }

  absl::Status OpenTransport() {
    absl::StatusOr<std::unique_ptr<membership::ZmqTransport>> transport =
        membership::ZmqTransport::Make(
            executor_, settings_.peer_address, {}, {},
            [this](const proto::Envelope& message) { OnPeerMessage(message); });
    if (!transport.ok()) {
      return transport.status();
    }
    transport_ = *std::move(transport);
    for (const std::string& seed : settings_.seeds) {
      mesh_.AddSeed(seed);
    }
    return absl::OkStatus();
  }

  void OnPeerMessage(const proto::Envelope& message) {
    const HostId from(message.from());
    peer_traffic_.Measure([&] { mesh_.OnMessage(from, message); });
    peer_traffic_.RecordReceived(message, mesh_.IsRemote(from));
  }

  // Enters this daemon in the store's list of daemons and, unless a seed has
  // told of others by then, adds the listed daemons. Retries until both calls
  // have succeeded.
  Task<void> JoinMesh() {
    const Millis started = clock_.Now();
    bool is_announced = false;
    for (;;) {
      if (!is_announced) {
        const membership::DaemonInfo info = SelfInfo();
        store::PeerEntry self;
        self.name = info.id.value();
        self.address = info.address;
        self.data_centre = info.data_centre.value();
        self.capacity = info.capacity;
        const absl::Status announce_status =
            co_await adapter_.peers.Announce(std::move(self));
        is_announced = announce_status.ok();
      }
      const bool lists_peers = clock_.Now() - started >= kSeedPatience;
      if (is_announced && mesh_.HasContact()) {
        co_return;
      }
      if (is_announced && lists_peers) {
        const absl::StatusOr<std::vector<store::PeerEntry>> peers =
            co_await adapter_.peers.ListPeers();
        if (peers.ok()) {
          for (const store::PeerEntry& peer : *peers) {
            mesh_.AddDaemon({HostId(peer.name), peer.address,
                             base::DataCentreId(peer.data_centre),
                             peer.capacity});
          }
          mesh_.RecordListed();
          co_return;
        }
      }
      co_await base::SleepFor(kJoinRetryInterval);
    }
  }

  Task<void> RunPeriodicTasks() {
    for (;;) {
      co_await base::SleepFor(kTickInterval);
      const Millis now = clock_.Now();
      ElectReaders(now);
      DetectStoreRecovery();
      rollouts_.Tick();
      quarantine_.Tick(now);
      reach_.Prune(now);
      reach_directory_.SetOwn(reach_.LostPools(), IsReady());
      reach_directory_.Prune();
      if (quarantine_.quarantine_count() > 0) {
        forwarder_.RejectUnsendable();
      }
      peer_traffic_.Measure([this] { mesh_.Tick(); });
      peer_traffic_.Tick(mesh_.IsDelegate(), mesh_.link_count());
      RecordVersions(now);
      upstreams_.Prune(now);
      self_reports_.Prune(
          [this](const UpstreamId& id) {
            return upstreams_.Find(id) != nullptr;
          },
          now);
      placer_.DispatchWaiting();
      ReportReadiness();
    }
  }

  // Takes part in the election of each topic's reader.
  void ElectReaders(Millis now) {
    for (const Topic topic : store::kAllTopics) {
      ElectionOf(topic).UpdateRole(now, AgeForElection(topic, now),
                                   mesh_.PeerReaderStatuses(topic),
                                   mesh_.IsDelegateCandidate());
      ReportReaderElection(topic);
    }
  }

  store::ReaderElection& ElectionOf(Topic topic) {
    return elections_[static_cast<size_t>(topic)];
  }
  bool IsReader(Topic topic) const {
    return elections_[static_cast<size_t>(topic)].is_reader();
  }

  // Age of the topic's last verification. A daemon that has just started and
  // has none gives the others time to send theirs; only one that expects to be
  // a delegate reads soon.
  Millis AgeForElection(Topic topic, Millis now) const {
    const Millis age = fleet_state_.VerificationAgeOf(topic);
    const Millis up_for = now - started_at_;
    const bool reads_first =
        mesh_.IsDelegateCandidate() && up_for >= kFirstReadDelay;
    return reads_first ? age : std::min(age, up_for);
  }

  void ReportReaderElection(Topic topic) {
    bool& reported = reported_reading_[static_cast<size_t>(topic)];
    if (IsReader(topic) == reported) {
      return;
    }
    reported = IsReader(topic);
    Emit(reported ? Event::kStoreReaderStarted : Event::kStoreReaderStopped,
         {{"topic", std::string(ToString(topic))},
          {"age_ms",
           absl::StrCat(fleet_state_.VerificationAgeOf(topic).count())},
          {"daemons", absl::StrCat(mesh_.DaemonCount())}});
  }

  // Tells the upstream list when verified updates arrive again after the store
  // was silent.
  void DetectStoreRecovery() {
    const bool silent =
        fleet_state_.VerificationAgeOf(Topic::kUpstreams) > kStoreSilentAfter;
    if (store_silent_ && !silent) {
      upstreams_.OnStoreRecovered(clock_.Now());
    }
    store_silent_ = silent;
  }

  void RecordVersions(Millis now) {
    if (now - versions_recorded_at_ < kVersionRecordInterval) {
      return;
    }
    versions_recorded_at_ = now;
    if (fleet_state_.replica(Topic::kUpstreams).started()) {
      version_history_.Record(upstreams_, UpstreamsVerifiedAt(), now);
    }
  }

  // As of when the list of upstreams was last verified to be complete.
  Millis UpstreamsVerifiedAt() const {
    return clock_.Now() - fleet_state_.VerificationAgeOf(Topic::kUpstreams);
  }

  // The only version of a pool that can have begun a stream from `since` to
  // `until`. Empty if it is not known.
  std::optional<base::SoftwareVersion> OnlyVersion(const base::PoolName& pool,
                                                   Millis since,
                                                   Millis until) {
    if (fleet_state_.replica(Topic::kUpstreams).started()) {
      version_history_.Record(upstreams_, UpstreamsVerifiedAt(), clock_.Now());
    }
    return version_history_.OnlyVersion(pool, since, until);
  }

  bool StoreUpdatesAreLate() const {
    return store_silent_ || mesh_.IsStoreSlow() ||
           (IsReader(Topic::kUpstreams) && follower_.is_store_slow());
  }

  // While updates from the store are late, polls the engines that run
  // generations of this daemon, so that leaving engines are still noticed.
  Task<void> PollEngineReports() {
    for (;;) {
      co_await base::SleepFor(kEngineReportInterval);
      if (!StoreUpdatesAreLate()) {
        continue;
      }
      for (const UpstreamId& id : migrator_.UsedEngines()) {
        const fleet::Upstream* upstream = upstreams_.Find(id);
        if (!upstream || upstream->leaving_since ||
            !self_reports_.MayCall(id, clock_.Now())) {
          continue;
        }
        const auto address = upstream->entry.address;
        const absl::StatusOr<relay::EngineReport> report =
            co_await adapter_.engines.FetchEngineReport(address);
        if (!report.ok()) {
          continue;
        }
        RecordSelfReport(id, report->self);
        if (report->leaving) {
          upstreams_.MarkLeaving(id, "its own report", clock_.Now());
        }
      }
    }
  }

  bool IsReady() const {
    return !stop_.is_set() && fleet_state_.catalogue() &&
           fleet_state_.VerificationAgeOf(Topic::kOperator) <
               kMaxReadyConfigAge &&
           !upstreams_.listed_upstreams().empty() && TakesCallers();
  }

  // Whether the caller port takes new connections in time.
  bool TakesCallers() const {
    return caller_server_.CanAccept() &&
           loop_monitor_.lag() < LoopMonitor::kMaxReadyLag;
  }

  void ReportReadiness() {
    const bool ready = IsReady();
    if (ready == reported_ready_) {
      return;
    }
    reported_ready_ = ready;
    Emit(Event::kReadinessChanged,
         {{"ready", ready ? "1" : "0"},
          {"config_age_ms",
           absl::StrCat(
               fleet_state_.VerificationAgeOf(Topic::kOperator).count())},
          {"upstreams", absl::StrCat(upstreams_.listed_upstreams().size())},
          {"can_accept", caller_server_.CanAccept() ? "1" : "0"},
          {"lag_ms", absl::StrCat(loop_monitor_.lag().count())}});
  }

  Task<void> HandleReadiness(http::Exchange& exchange) {
    const bool known_path =
        exchange.request().Path() == adapter_.readiness_path;
    constexpr int kOk = 200;
    constexpr int kNotFound = 404;
    constexpr int kUnavailable = 503;
    const int status = !known_path ? kNotFound : IsReady() ? kOk : kUnavailable;
    http::Response response = http::JsonResponse(status, "{}");
    (void)co_await exchange.Respond(std::move(response));
  }

  void OnLoopCheck(Millis lag) {
    ReportLoopCheck(lag, transport_->counts(), &checked_counts_, metrics_);
  }

  Task<void> HandleMetrics(http::Exchange& exchange) {
    ExportTransportCounts(transport_->counts(), &exported_counts_, metrics_);
    metrics_.SetConnections(static_cast<double>(caller_server_.connections()));
    metrics_.SetInFlight(static_cast<double>(caller_server_.in_flight()));
    metrics_.SetRequestMemory(
        static_cast<double>(caller_server_.request_memory()));
    if (exchange.request().Path() == kRolloutsPath) {
      constexpr int kOk = 200;
      (void)co_await exchange.Respond(
          http::JsonResponse(kOk, rollouts_.DescribeAsJson()));
      co_return;
    }
    rollouts_.ExportCounts();
    http::Response response;
    response.headers.Add("Content-Type", "text/plain; version=0.0.4");
    response.body = metrics_.SerializeAsText();
    (void)co_await exchange.Respond(std::move(response));
  }

  relay::AdmissionState MakeAdmissionState() const {
    constexpr Millis kUnlimited{INT64_C(1) << 50};
    relay::AdmissionState state;
    state.catalogue = fleet_state_.catalogue();
    state.catalogue_age = fleet_state_.VerificationAgeOf(Topic::kOperator);
    state.max_key_age =
        settings_.strict_keys ? settings_.strict_max_key_age : kUnlimited;
    state.max_denial_age = settings_.change_delay;
    state.stops_in = stop_.TimeLeft(clock_.Now());
    return state;
  }

  relay::PoolRetryBudget::Bounds RetryBounds() const {
    return {settings_.retry_ratio, settings_.retry_slack,
            settings_.retry_window};
  }

  std::vector<store::Record> OnUpdate(Topic topic,
                                      const store::Update& update,
                                      Millis verified_at) {
    std::vector<store::Record> changes =
        fleet_state_.ApplyUpdate(topic, update, verified_at);
    placer_.DispatchWaiting();
    return changes;
  }

  // Applies what this daemon has read in the store. The reader tells the
  // others; any other daemon only caught up with them.
  void OnStoreUpdate(Topic topic,
                     const store::Update& update,
                     Millis verified_at) {
    std::vector<store::Record> changes = OnUpdate(topic, update, verified_at);
    if (!IsReader(topic)) {
      for (const store::Record& record : changes) {
        mesh_.MarkChange(topic, record.offset);
      }
    } else if (!changes.empty()) {
      store::Update update_for_peers = update;
      update_for_peers.records = std::move(changes);
      mesh_.BroadcastUpdate(topic, std::move(update_for_peers));
    }
  }

  fleet::UpstreamList::Hooks UpstreamHooks() {
    fleet::UpstreamList::Hooks hooks;
    hooks.on_listed = [this](const fleet::Upstream& upstream) {
      version_history_.RecordListed(upstream, clock_.Now());
      self_reports_.OnListed(upstream.id, upstream.entry.started_at,
                             clock_.Now());
      Emit(Event::kUpstreamListed,
           {{"upstream", upstream.id.value()},
            {"pool", upstream.entry.pool.value()},
            {"data_centre", upstream.entry.data_centre.value()},
            {"cold_ms", absl::StrCat(upstream.entry.cold_remaining.count())}});
    };
    hooks.on_leaving = [this](const fleet::Upstream& upstream,
                              std::string_view reason) {
      Emit(Event::kUpstreamLeaving,
           {{"upstream", upstream.id.value()},
            {"reason", std::string(reason)},
            {"age_ms",
             absl::StrCat(
                 fleet_state_.VerificationAgeOf(Topic::kUpstreams).count())}});
      migrator_.MigrateFrom(upstream.id, std::string(reason));
    };
    hooks.on_restarted = [this](const UpstreamId& id) {
      health_.Forget(id);
      loads_.RemoveOthersOn(id);
    };
    return hooks;
  }

  // The load balancer may hide the callers' addresses, so one address may have
  // all connections.
  http::ServerLimits CallerLimits() const {
    http::ServerLimits limits;
    limits.connections = CallerConnectionLimit(settings_.max_descriptors);
    limits.connections_per_address = limits.connections;
    limits.request_memory_bytes =
        static_cast<size_t>(settings_.RequestMemoryBytes());
    return limits;
  }

  fleet::FleetState::Hooks FleetStateHooks() {
    fleet::FleetState::Hooks hooks;
    hooks.parse_operator_record = adapter_.parse_operator_record;
    hooks.parse_upstream_entry = adapter_.parse_upstream_entry;
    hooks.on_rollout = [this](const fleet::RolloutOrder& order) {
      rollouts_.OnOrder(order);
    };
    hooks.on_catalogue = [this](const fleet::CataloguePtr& catalogue) {
      http::ServerLimits limits = CallerLimits();
      limits.header_bytes = catalogue->limits.header_bytes;
      limits.body_bytes = catalogue->limits.body_bytes;
      limits.header_timeout = catalogue->limits.header_timeout;
      limits.idle_timeout = catalogue->limits.idle_timeout + kIdleTimeoutMargin;
      caller_server_.SetLimits(limits);
    };
    return hooks;
  }

  store::Follower::Hooks FollowerHooks() {
    store::Follower::Hooks hooks;
    hooks.should_read = [this](Topic topic) {
      return IsReader(topic) || mesh_.IsBehind(topic);
    };
    hooks.replica = [this](Topic topic) -> const store::TopicReplica& {
      return fleet_state_.replica(topic);
    };
    hooks.is_delegate = [this] { return mesh_.IsDelegateCandidate(); };
    hooks.on_update = [this](Topic topic, const store::Update& update,
                             Millis verified_at) {
      OnStoreUpdate(topic, update, verified_at);
    };
    return hooks;
  }

  membership::Mesh::Hooks MeshHooks() {
    membership::Mesh::Hooks hooks;
    hooks.send = [this](const HostId& to, const proto::Envelope& message) {
      const size_t bytes = transport_->Send(to, message);
      peer_traffic_.RecordSent(message, bytes, mesh_.IsRemote(to));
    };
    hooks.connect = [this](const membership::PeerAddress& peer) {
      transport_->AddPeer(peer);
    };
    hooks.disconnect = [this](const HostId& id) { transport_->RemovePeer(id); };
    hooks.replica = [this](Topic topic) -> const store::TopicReplica& {
      return fleet_state_.replica(topic);
    };
    hooks.on_update = [this](Topic topic, const store::Update& update,
                             Millis verified_at) {
      return OnUpdate(topic, update, verified_at);
    };
    AddLoadHooks(&hooks);
    hooks.part_evidence = [this](bool all) {
      return admission::CollectPartEvidence(quarantine_, all, clock_.Now());
    };
    hooks.has_new_part_evidence = [this] { return quarantine_.has_changes(); };
    hooks.on_part_evidence = [this](const HostId& from,
                                    const proto::PartEvidence& evidence) {
      admission::ApplyPartEvidence(from, evidence, clock_.Now(), quarantine_);
    };
    hooks.add_self_reports = [this](bool all, proto::FleetBeat* heartbeat) {
      routing::AddSelfReports(self_reports_, all, clock_.Now(), heartbeat);
      reach_directory_.AddTo(all, heartbeat);
    };
    hooks.has_new_self_reports = [this] {
      return self_reports_.has_changes() || reach_directory_.has_changes();
    };
    hooks.on_self_reports = [this](const proto::FleetBeat& heartbeat) {
      routing::ApplySelfReports(heartbeat, clock_.Now(), self_reports_);
      reach_directory_.Apply(heartbeat);
    };
    rollouts_.AddHooks(&hooks);
    hooks.is_reader = [this](Topic topic) {
      return IsReader(topic) && follower_.HasRecentRead(topic);
    };
    hooks.store_slow = [this] { return follower_.is_store_slow(); };
    return hooks;
  }

  // Whether this daemon decides for the fleet and keeps what the fleet knows.
  // Daemons that do not know each other yet would all do so.
  bool ActsForFleet() const {
    return IsReader(Topic::kUpstreams) && mesh_.IsDelegate() &&
           mesh_.KnowsFleet();
  }

  // This daemon's share of the store's writes for the origins of streams.
  double OriginCallsPerSecond() const {
    constexpr double kShareOfWrites = 0.25;
    return settings_.store_writes_per_second * kShareOfWrites /
           static_cast<double>(std::max<size_t>(1, mesh_.DaemonCount()));
  }

  rollout::Rollouts::Hooks RolloutHooks() {
    rollout::Rollouts::Hooks hooks;
    hooks.is_decider = [this] { return ActsForFleet(); };
    hooks.running_on = [this](const UpstreamId& id) {
      return loads_.TotalLoad(id).running;
    };
    return hooks;
  }

  void AddLoadHooks(membership::Mesh::Hooks* hooks) {
    hooks->start_load_round = [this] { load_exchange_.StartRound(); };
    hooks->loads_changed = [this] { return load_exchange_.HasChanges(); };
    hooks->add_loads = [this](proto::LoadScope scope, const HostId& receiver,
                              bool all, proto::FleetBeat* heartbeat) {
      load_exchange_.AddLoads(scope, receiver, all, heartbeat);
    };
    hooks->on_member_loads = [this](const HostId& from,
                                    const proto::FleetBeat& heartbeat) {
      load_exchange_.ApplyMemberLoads(from, heartbeat);
    };
    hooks->on_data_centre_loads = [this](const base::DataCentreId& data_centre,
                                         const proto::FleetBeat& heartbeat) {
      load_exchange_.ApplyDataCentreLoads(data_centre, heartbeat);
    };
    hooks->on_fleet_loads = [this](const proto::FleetBeat& heartbeat) {
      load_exchange_.ApplyFleetLoads(heartbeat);
    };
    hooks->on_member_down = [this](const HostId& id) {
      loads_.RemoveMember(id);
    };
    hooks->on_data_centre_down = [this](const base::DataCentreId& id) {
      loads_.RemoveDataCentre(id);
    };
    hooks->on_fleet_loads_lost = [this] { loads_.RemoveFleetLoads(); };
    hooks->on_following = [this](bool following) {
      loads_.SetFollowing(following);
    };
  }

  routing::UpstreamHealth::Hooks HealthHooks() {
    return {[](const UpstreamId& id, Millis time) {
              Emit(Event::kUpstreamEjected,
                   {{"upstream", id.value()},
                    {"time_ms", absl::StrCat(time.count())}});
            },
            [](const UpstreamId& id) {
              Emit(Event::kUpstreamReadmitted, {{"upstream", id.value()}});
            }};
  }

  routing::UpstreamReach::Hooks ReachHooks() {
    return {[this](const base::PoolName& pool, size_t failed) {
              Emit(Event::kReachLost,
                   {{"pool", pool.value()},
                    {"upstreams", absl::StrCat(failed)},
                    {"peers", reach_directory_.HasPeer(pool) ? "1" : "0"}});
            },
            [this](const base::PoolName& pool, Millis lost_for,
                   const std::set<UpstreamId>& failed) {
              for (const UpstreamId& id : failed) {
                health_.Excuse(id);
              }
              Emit(Event::kReachRegained,
                   {{"pool", pool.value()},
                    {"lost_ms", absl::StrCat(lost_for.count())}});
            }};
  }

  routing::SelfReports::Hooks SelfReportHooks() {
    routing::SelfReports::Hooks hooks;
    hooks.on_leaving = [this](const UpstreamId& id, std::string_view reason) {
      upstreams_.MarkLeaving(id, reason, clock_.Now());
    };
    hooks.on_limit = [this](const UpstreamId& id,
                            std::optional<double> per_second) {
      Emit(Event::kUpstreamLimited,
           {{"upstream", id.value()},
            {"per_second", per_second ? absl::StrCat(*per_second) : ""},
            {"daemons", absl::StrCat(mesh_.DaemonCount())}});
    };
    hooks.on_pause = [](const UpstreamId& id, Millis pause) {
      Emit(Event::kUpstreamPaused, {{"upstream", id.value()},
                                    {"pause_ms", absl::StrCat(pause.count())}});
    };
    hooks.rank = [this](const UpstreamId& id) { return RankFor(id); };
    hooks.on_brittle = [this](const UpstreamId& id,
                              std::optional<double> rejections) {
      Emit(Event::kUpstreamBrittle,
           {{"upstream", id.value()},
            {"rejections", rejections ? absl::StrCat(*rejections) : ""},
            {"daemons", absl::StrCat(mesh_.DaemonCount())}});
    };
    hooks.room = [this](const UpstreamId& id) {
      const fleet::Upstream* upstream = upstreams_.Find(id);
      return routing::UpstreamRoom{upstream ? upstream->entry.slots : 0,
                                   loads_.OwnLoad(id).running};
    };
    return hooks;
  }

  routing::DaemonRank RankFor(const UpstreamId& id) const {
    return {mesh_.RankFor(id.value()), mesh_.DaemonCount(), mesh_.KnowsFleet()};
  }

  // Records what an engine said in its answer to an order. Such an answer need
  // not name the engine's limit, so that its absence does not end one.
  void RecordSelfReport(const UpstreamId& id,
                        const routing::SelfReport& report) {
    if (!report.empty()) {
      self_reports_.RecordAnswer(id, report, clock_.Now());
    }
  }

  migration::Migrator::Hooks MigratorHooks() {
    migration::Migrator::Hooks hooks;
    hooks.choose = [this](const migration::ActiveGeneration& generation,
                          const std::set<UpstreamId>& excluded) {
      return ChooseTarget(generation, excluded);
    };
    hooks.leaving = [this](const UpstreamId& id) {
      const fleet::Upstream* upstream = upstreams_.Find(id);
      return upstream && upstream->leaving_since;
    };
    hooks.on_self_report = [this](const UpstreamId& id,
                                  const routing::SelfReport& report) {
      RecordSelfReport(id, report);
    };
    return hooks;
  }

  std::optional<migration::Place> ChooseTarget(
      const migration::ActiveGeneration& generation,
      const std::set<UpstreamId>& excluded) {
    const fleet::Pool* pool =
        fleet_state_.catalogue()
            ? fleet_state_.catalogue()->FindPool(generation.pool)
            : nullptr;
    if (!pool || !pool->engine || !pool->engine->can_migrate) {
      return std::nullopt;
    }
    return placer_.ChooseMigrationTarget(generation, *pool, excluded);
  }

  base::Executor executor_;
  FleetSettings settings_;
  PlatformAdapter adapter_;
  base::Clock clock_;
  Millis started_at_;
  Registry registry_;
  telemetry::Metrics metrics_;
  fleet::VersionHistory version_history_;
  Millis versions_recorded_at_{0};
  fleet::UpstreamList upstreams_;
  fleet::FleetState fleet_state_;
  // By topic.
  std::array<store::ReaderElection, store::kTopicCount> elections_;
  store::Follower follower_;
  std::unique_ptr<membership::ZmqTransport> transport_;
  routing::LoadTracker loads_;
  routing::UpstreamHealth health_;
  routing::LoadExchange load_exchange_;
  PeerTraffic peer_traffic_;
  RolloutService rollouts_;
  membership::Mesh mesh_;
  admission::PartQuarantine quarantine_;
  QuarantineRecords quarantine_records_;
  relay::StreamOrigins origins_;
  routing::SelfReports self_reports_;
  std::minstd_rand random_{std::random_device()()};
  std::uniform_real_distribution<double> spread_;
  relay::Placer placer_;
  routing::UpstreamReach reach_;
  membership::ReachDirectory reach_directory_;
  relay::HandOverServices hand_over_;
  migration::Migrator migrator_;
  relay::PoolRetryBudget retry_budget_;
  admission::StopDeadline stop_;
  relay::Forwarder forwarder_;
  http::Server caller_server_;
  http::Server readiness_server_;
  http::Server metrics_server_;
  LoopMonitor loop_monitor_;
  membership::TransportCounts exported_counts_;
  /// The transport's counts at the last check of the event loop.
  membership::TransportCounts checked_counts_;
  bool reported_ready_ = false;
  std::array<bool, store::kTopicCount> reported_reading_{};
  bool store_silent_ = true;
};

FleetDaemon::FleetDaemon(const base::Executor& executor,
                         FleetSettings settings,
                         PlatformAdapter adapter)
    : impl_(std::make_unique<Impl>(executor,
                                   std::move(settings),
                                   std::move(adapter))) {}
FleetDaemon::~FleetDaemon() = default;

absl::Status FleetDaemon::Start() {
  return impl_->Start();
}
void FleetDaemon::Reload(const FleetSettings& settings) {
  impl_->Reload(settings);
}
Task<void> FleetDaemon::Drain() {
  return impl_->Drain();
}

}  // namespace dandelion::kernel
