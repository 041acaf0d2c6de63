#include "kernel/daemon.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "admission/slot_service.h"
#include "admission/stop_deadline.h"
#include "base/error.h"
#include "claims/claim_service.h"
#include "config/config_service.h"
#include "entry/admin_handler.h"
#include "entry/request_handler.h"
#include "http/client.h"
#include "http/connection_group.h"
#include "http/server.h"
#include "kernel/connection_limit.h"
#include "kernel/loop_monitor.h"
#include "kernel/quarantine_hooks.h"
#include "kernel/registry.h"
#include "kernel/serving_telemetry.h"
#include "membership/membership.h"
#include "membership/pull_schedule.h"
#include "membership/transport.h"
#include "platform_client/platform_client.h"
#include "relay/generation_relay.h"
#include "relay/resume_token.h"
#include "relay/service_relay.h"
#include "routing/dispatcher.h"
#include "telemetry/events.h"
#include "telemetry/metrics.h"
#include "upstream/engine_client.h"

namespace dandelion::kernel {
namespace {

using base::HostId;
using base::Millis;
using base::Task;
using nlohmann::json;
using telemetry::CounterId;
using telemetry::Emit;
using telemetry::Event;

std::vector<membership::Member> MembersOf(const Settings& settings) {
  std::vector<membership::Member> members;
  for (const PeerSettings& peer : settings.peers) {
    members.push_back({peer.id, peer.data_centre});
  }
  return members;
}

http::ServerLimits LimitsOf(const Tuning& tuning) {
  http::ServerLimits limits;
  limits.header_bytes = tuning.header_bytes;
  limits.body_bytes = tuning.body_bytes;
  limits.connections = std::min(tuning.connections, CallerConnectionLimit(0));
  limits.connections_per_address = tuning.connections_per_address;
  limits.request_memory_bytes = tuning.request_memory_bytes;
  return limits;
}

}  // namespace

class Daemon::Impl {
 public:
  Impl(const base::Executor& executor, Settings settings)
      : executor_(executor),
        settings_(std::move(settings)),
        clock_(base::Clock::Monotonic()),
        incarnation_(base::RandomHexId()),
        metrics_(settings_.tuning.metric_organisations),
        log_(platform_client::MakeHttpLog(client_, settings_.platform)),
        host_list_(
            platform_client::MakeHttpHostList(client_, settings_.platform)),
        config_(executor, clock_, *log_, ConfigHooks()),
        membership_({settings_.id, settings_.data_centre},
                    incarnation_,
                    MembersOf(settings_),
                    clock_,
                    MembershipHooks()),
        engines_(client_, caller_sends_, settings_.id),
        slots_(executor, clock_, membership_, SlotHooks()),
        dispatcher_(executor,
                    clock_,
                    slots_.holder(),
                    membership_,
                    stop_deadline_,
                    settings_.tuning.queue_per_organisation,
                    {[this] { slots_.RequestRound(); }}),
        claims_(executor,
                clock_,
                settings_.id,
                incarnation_,
                *log_,
                ClaimHooks()),
        resume_tokens_(settings_.keys.resume_key),
        quarantine_(settings_.id, MakeQuarantineHooks(metrics_)),
        generation_relay_(clock_,
                          settings_.tuning,
                          caller_sends_,
                          dispatcher_,
                          engines_,
                          quarantine_,
                          metrics_),
        service_relay_(clock_,
                       dispatcher_,
                       client_,
                       caller_sends_,
                       claims_,
                       metrics_),
        request_handler_(clock_,
                         settings_.tuning,
                         resume_tokens_,
                         generation_relay_,
                         service_relay_,
                         dispatcher_,
                         metrics_,
                         {[this] { return config_.tables(); }}),
        admin_handler_(settings_.keys.operator_token, AdminHooks()),
        entry_server_(
            executor,
            LimitsOf(settings_.tuning),
            [this](http::Exchange& exchange) {
              return request_handler_.Handle(exchange);
            },
            MakeCallerServerHooks(
                metrics_,
                clock_,
                [this] { return entry_server_.connections(); })),
        admin_server_(executor,
                      http::ServerLimits(),
                      [this](http::Exchange& exchange) {
                        return admin_handler_.Handle(exchange);
                      }),
        loop_monitor_(clock_, [this](Millis lag) { OnLoopCheck(lag); }) {
    AddServices();
  }

  absl::Status Start() {
    Emit(Event::kDaemonStarted, {{"host", settings_.id.value()},
                                 {"data_centre", settings_.data_centre.value()},
                                 {"incarnation", incarnation_.value()}});
    return registry_.Start();
  }

  void Stop() { registry_.Stop(); }

  Task<bool> Drain() {
    const Millis started = clock_.Now();
    const Millis notice_end = started + settings_.tuning.drain_notice;
    Millis end = started + settings_.tuning.drain_timeout;
    stop_deadline_.Set(std::max(started, end - kFinalAnswerTime));
    StartDraining();
    bool accepting = true;
    Millis idle_since = started;
    size_t cut = 0;
    for (;;) {
      co_await base::SleepFor(kDrainCheckInterval);
      const Millis now = clock_.Now();
      const bool over = stop_deadline_.TimeLeft(now) == Millis(0);
      if (over && !caller_sends_.closed()) {
        // What is still in progress answers with an error now.
        cut = entry_server_.in_flight();
        caller_sends_.Close();
        // Also if the event loop lags, the answers get their time.
        end = std::max(end, now + kFinalAnswerTime);
      }
      const bool idle = !accepting && IsIdle();
      idle_since = idle ? idle_since : now;
      const bool finished = idle && (now - idle_since >= kIdleBeforeStop ||
                                     entry_server_.connections() == 0);
      if (finished || now >= end) {
        break;
      }
      if (accepting && (over || now >= notice_end)) {
        accepting = false;
        entry_server_.StopAccepting();
      }
    }
    const bool complete = cut == 0 && IsIdle();
    Emit(complete ? Event::kDrainFinished : Event::kDrainTimedOut,
         {{"cut", absl::StrCat(cut)},
          {"unanswered", absl::StrCat(entry_server_.in_flight())}});
    co_return complete;
  }

 private:
  // The drain ends once nothing was in progress for this long, because open
  // connections may still carry a new request.
  static constexpr Millis kIdleBeforeStop{500};
  static constexpr Millis kDrainCheckInterval{20};
  // The part of `Tuning::drain_timeout` at its end in which nothing is in
  // progress any more but final answers and outcomes of claims.
  static constexpr Millis kFinalAnswerTime{500};
  static constexpr Millis kQuarantineInterval{50};
  static constexpr Millis kHostListInterval{1000};

  void AddServices() {
    registry_.Add(
        "transport", &transport_,
        {[this] { return OpenTransport(); }, [this] { transport_.reset(); }});
    registry_.Add("membership", &membership_,
                  {SpawnHook([this] { return SendHeartbeats(); }), nullptr});
    registry_.Add("loop_monitor", &loop_monitor_,
                  {SpawnHook([this] { return loop_monitor_.Run(); }), nullptr});
    registry_.Add("quarantine", &quarantine_,
                  {SpawnHook([this] { return UpdateQuarantine(); }), nullptr});
    registry_.Add("config", &config_,
                  {StartHook(config_), [this] { config_.Stop(); }});
    registry_.Add("host_list", host_list_.get(),
                  {SpawnHook([this] { return PollHostList(); }), nullptr});
    registry_.Add("slots", &slots_,
                  {StartHook(slots_), [this] { slots_.Stop(); }});
    registry_.Add("claims", &claims_,
                  {StartHook(claims_), [this] { claims_.Stop(); }});
    registry_.Add(
        "admin", &admin_server_,
        {[this] { return admin_server_.BindAndAccept(settings_.admin); },
         [this] { admin_server_.StopAccepting(); }});
    registry_.Add("entry", &entry_server_,
                  {[this] { return entry_server_.Bind(settings_.listen); },
                   [this] { entry_server_.StopAccepting(); }});
  }

  template <typename Service>
  static std::function<absl::Status()> StartHook(Service& service) {
    return [&service] {
      service.Start();
      return absl::OkStatus();
    };
  }

  std::function<absl::Status()> SpawnHook(std::function<Task<void>()> task) {
    return [this, task] {
      base::SpawnRestarting(executor_, task);
      return absl::OkStatus();
    };
  }

  absl::Status OpenTransport() {
    std::vector<membership::PeerAddress> peers;
    for (const PeerSettings& peer : settings_.peers) {
      peers.push_back({peer.id, peer.address});
    }
    absl::StatusOr<std::unique_ptr<membership::ZmqTransport>> transport =
        membership::ZmqTransport::Make(
            executor_, settings_.peer_address, peers,
            {settings_.keys.peer_public, settings_.keys.peer_secret},
            [this](const proto::Envelope& message) { HandleMessage(message); });
    if (!transport.ok()) {
      return transport.status();
    }
    transport_ = *std::move(transport);
    return absl::OkStatus();
  }

  void OnLoopCheck(Millis lag) {
    const membership::TransportCounts counts =
        transport_ ? transport_->counts() : membership::TransportCounts();
    ReportLoopCheck(lag, counts, &checked_counts_, metrics_);
  }

  void Send(const HostId& to, proto::Envelope message) {
    if (transport_) {
      message.set_from(settings_.id.value());
      message.set_incarnation(incarnation_.value());
      transport_->Send(to, message);
    }
  }

  void HandleMessage(const proto::Envelope& message) {
    const HostId from(message.from());
    switch (message.body_case()) {
      case proto::Envelope::kHeartbeat:
        membership_.OnHeartbeat(from, base::Incarnation(message.incarnation()),
                                message.heartbeat());
        break;
      case proto::Envelope::kSlotRequest:
        slots_.OnRequest(from, message.slot_request());
        break;
      case proto::Envelope::kSlotAnswer:
        slots_.OnAnswer(from, message.slot_answer());
        break;
      case proto::Envelope::kSlotRevoke:
        slots_.OnRevoke(message.slot_revoke());
        break;
      case proto::Envelope::kConfigPull:
        Send(from, config_.OnConfigPull(message.config_pull()));
        break;
      case proto::Envelope::kConfigRows:
        config_.OnConfigRows(message.config_rows());
        config_pulls_.OnAnswer(from, true, clock_.Now());
        break;
      case proto::Envelope::kClaimQuestion:
        claims_.OnClaimQuestion(from, message.claim_question());
        break;
      case proto::Envelope::kClaimReply:
        claims_.OnClaimReply(message.claim_reply());
        break;
      case proto::Envelope::kFleetBeat:
      case proto::Envelope::kFleetPull:
      case proto::Envelope::kFleetPeers:
        // Only fleet daemons send these.
      case proto::Envelope::BODY_NOT_SET:
        break;
    }
  }

  config::ConfigService::Hooks ConfigHooks() {
    config::ConfigService::Hooks hooks;
    hooks.send = [this](const HostId& to, const proto::Envelope& message) {
      Send(to, message);
    };
    hooks.reader_rank = [this] { return ReaderRank(); };
    hooks.on_tables_installed = [this](std::shared_ptr<const config::Tables>
                                           tables) {
      const bool first = !config_installed_;
      config_installed_ = true;
      metrics_.SetConfigVersion(tables->version);
      slots_.OnTables(tables);
      dispatcher_.OnTables(tables);
      if (first) {
        // Callers are accepted from the first configuration on; without one no
        // request can be routed.
        const absl::Status open = entry_server_.StartAccepting();
        if (!open.ok()) {
          Emit(Event::kStartFailed, {{"reason", std::string(open.message())}});
          return;
        }
        Emit(Event::kDaemonReady,
             {{"version", absl::StrCat(tables->version.count())}});
      }
    };
    return hooks;
  }

  // Returns this daemon's rank for reading from the platform, from 0: the
  // number of reachable daemons of its data centre with a higher rendezvous
  // weight.
  int ReaderRank() const {
    const std::string_view own_data_centre = settings_.data_centre.value();
    const uint64_t own_weight =
        membership::RendezvousWeight(own_data_centre, settings_.id.value());
    int rank = 0;
    for (const PeerSettings& peer : settings_.peers) {
      if (peer.data_centre == settings_.data_centre &&
          membership_.IsUp(peer.id) &&
          membership::RendezvousWeight(own_data_centre, peer.id.value()) >
              own_weight) {
        ++rank;
      }
    }
    return rank;
  }

  membership::Membership::Hooks MembershipHooks() {
    membership::Membership::Hooks hooks;
    hooks.send = [this](const HostId& to, const proto::Envelope& message) {
      Send(to, message);
    };
    hooks.on_change = [](const HostId& host, bool up) {
      Emit(up ? Event::kPeerUp : Event::kPeerDown, {{"host", host.value()}});
    };
    hooks.config_version = [this] { return config_.version(); };
    hooks.on_newer_config = [this](const HostId& host) {
      if (config_pulls_.TryStart(host, clock_.Now())) {
        config_.RequestRows(host);
      }
    };
    return hooks;
  }

  admission::SlotService::Hooks SlotHooks() {
    admission::SlotService::Hooks hooks;
    hooks.send = [this](const HostId& to, const proto::Envelope& message) {
      Send(to, message);
    };
    hooks.poll = [this](const config::Upstream& upstream)
        -> Task<absl::StatusOr<admission::UpstreamReport>> {
      Endpoint endpoint;
      http::ParseEndpoint(upstream.address, &endpoint);
      co_return co_await engines_.FetchLoadReport(endpoint);
    };
    hooks.on_grants = [this] { dispatcher_.DispatchWaiting(); };
    hooks.queued = [this](const config::Upstream& upstream) {
      return dispatcher_.EstimateQueuedPerUpstream(upstream);
    };
    hooks.headroom_needed = [this](const config::Upstream& upstream) {
      return dispatcher_.HeadroomNeeded(upstream);
    };
    hooks.occupancy = [this](const base::UpstreamId& upstream) {
      return dispatcher_.PredictOwnOccupancy(upstream);
    };
    hooks.wants_remote = [this](const config::Upstream& upstream) {
      return dispatcher_.WantsRemoteSlots(upstream);
    };
    return hooks;
  }

  claims::ClaimService::Hooks ClaimHooks() {
    claims::ClaimService::Hooks hooks;
    hooks.send = [this](const HostId& to, const proto::Envelope& message) {
      Send(to, message);
    };
    hooks.is_up = [this](const HostId& host) { return membership_.IsUp(host); };
    hooks.may_wait = [this] { return !caller_sends_.closed(); };
    hooks.on_log_request = [this](bool append) {
      metrics_.Add(append ? CounterId::kLogAppends : CounterId::kLogReads);
    };
    return hooks;
  }

  entry::AdminHandler::Hooks AdminHooks() {
    entry::AdminHandler::Hooks hooks;
    hooks.readiness = [this] { return CurrentReadiness(); };
    hooks.status = [this] { return StatusJson(); };
    hooks.metrics = [this] { return MetricsText(); };
    hooks.explain = [this](const std::string& request_id) {
      const std::vector<std::string> lines =
          dispatcher_.explanations().FindLines(base::RequestId(request_id));
      return lines.empty() ? std::string() : json(lines).dump();
    };
    hooks.drain = [this] { base::Spawn(executor_, DrainByOperator()); };
    return hooks;
  }

  void StartDraining() {
    draining_ = true;
    membership_.SetDraining();
    entry_server_.DisableKeepAlive();
    Emit(Event::kDrainStarted,
         {{"in_flight", absl::StrCat(entry_server_.in_flight())}});
  }

  bool IsIdle() const {
    return entry_server_.in_flight() == 0 && claims_.HasNoPendingAppends();
  }

  // Has no deadline, because the process goes on. SIGTERM takes over from it.
  Task<void> DrainByOperator() {
    if (draining_) {
      co_return;
    }
    StartDraining();
    co_await base::SleepFor(settings_.tuning.drain_notice);
    entry_server_.StopAccepting();
    while (!IsIdle() && !stop_deadline_.is_set()) {
      co_await base::SleepFor(kDrainCheckInterval);
    }
    if (!stop_deadline_.is_set()) {
      Emit(Event::kDrainFinished);
    }
  }

  entry::Readiness CurrentReadiness() const {
    const std::shared_ptr<const config::Tables> tables = config_.tables();
    if (draining_) {
      return {false, "draining"};
    }
    if (!tables) {
      return {false, "no configuration is installed yet"};
    }
    if (tables->drained_data_centres.contains(settings_.data_centre)) {
      return {false, "the data centre is drained"};
    }
    if (!entry_server_.CanAccept()) {
      return {false, "the entry port takes no new connection"};
    }
    if (loop_monitor_.lag() >= LoopMonitor::kMaxReadyLag) {
      return {false, "the event loop lags"};
    }
    return {true, "ready"};
  }

  Task<void> UpdateQuarantine() {
    for (;;) {
      quarantine_.Tick(clock_.Now());
      co_await base::SleepFor(kQuarantineInterval);
    }
  }

  Task<void> SendHeartbeats() {
    for (;;) {
      membership_.Tick();
      co_await base::SleepFor(membership::Membership::kHeartbeatInterval);
    }
  }

  // Only the readers of a data centre poll the host list at every interval; the
  // others read it at the fallback interval and learn from heartbeats which
  // upstreams are leaving.
  Task<void> PollHostList() {
    Millis last_read(-config::ConfigService::kFallbackReadInterval.count());
    for (;;) {
      const bool reader = ReaderRank() < config::ConfigService::kReaderCount;
      if (reader || clock_.Now() - last_read >=
                        config::ConfigService::kFallbackReadInterval) {
        last_read = clock_.Now();
        const absl::StatusOr<std::vector<platform_client::HostEntry>> hosts =
            co_await host_list_->Read();
        if (hosts.ok()) {
          ApplyHostList(*hosts);
        }
      }
      co_await base::SleepFor(kHostListInterval);
    }
  }

  void ApplyHostList(const std::vector<platform_client::HostEntry>& hosts) {
    std::set<HostId> listed;
    for (const platform_client::HostEntry& host : hosts) {
      listed.insert(host.id);
      const base::UpstreamId upstream(host.id.value());
      bool& was_leaving = listed_as_leaving_[upstream];
      const admission::UpstreamReport* report =
          slots_.holder().ReportOf(upstream);
      // The host list lags, so its flag may outlast the incarnation that it was
      // set for. It is applied once, to the incarnation known at that time.
      if (host.leaving && !was_leaving && report != nullptr) {
        was_leaving = true;
        Emit(Event::kUpstreamLeaving,
             {{"upstream", upstream.value()}, {"source", "host list"}});
        membership_.MarkLeaving(upstream, report->incarnation);
      } else if (!host.leaving) {
        was_leaving = false;
      }
    }
    membership_.OnHostList(listed);
  }

  std::string StatusJson() const {
    json upstreams = json::array();
    const std::shared_ptr<const config::Tables> tables = config_.tables();
    if (tables) {
      for (const auto& [id, upstream] : tables->upstreams) {
        upstreams.push_back(UpstreamStatusJson(*tables, upstream));
      }
    }
    json peers = json::array();
    for (const PeerSettings& peer : settings_.peers) {
      peers.push_back({{"id", peer.id.value()},
                       {"data_centre", peer.data_centre.value()},
                       {"up", membership_.IsUp(peer.id)}});
    }
    const entry::Readiness readiness = CurrentReadiness();
    return json({{"host", settings_.id.value()},
                 {"data_centre", settings_.data_centre.value()},
                 {"incarnation", incarnation_.value()},
                 {"version", config_.version().count()},
                 {"ready", readiness.ready},
                 {"readiness", readiness.reason},
                 {"platform_reachable", config_.platform_reachable()},
                 {"in_flight", entry_server_.in_flight()},
                 {"queued", dispatcher_.queued()},
                 {"claims", claims_.claim_count()},
                 {"length_groups", dispatcher_.lengths().histogram_count()},
                 {"peers", std::move(peers)},
                 {"upstreams", std::move(upstreams)}})
        .dump();
  }

  json UpstreamStatusJson(const config::Tables& tables,
                          const config::Upstream& upstream) const {
    const admission::SlotHolder& holder = slots_.holder();
    const admission::UpstreamReport* report = holder.ReportOf(upstream.id);
    std::string state = "unknown";
    if (!tables.IsInService(upstream)) {
      state = "out";
    } else if (report != nullptr && !report->reachable) {
      state = "unreachable";
    } else if (report != nullptr &&
               (report->leaving ||
                membership_.IsLeaving(upstream.id, report->incarnation))) {
      state = "leaving";
    } else if (report != nullptr) {
      state = report->cold ? "cold" : "warm";
    }
    const std::optional<HostId> owner =
        membership_.SlotOwnerOf(upstream.id, upstream.data_centre);
    return {{"id", upstream.id.value()},
            {"pool", upstream.pool.value()},
            {"data_centre", upstream.data_centre.value()},
            {"state", state},
            {"owner", owner ? owner->value() : ""},
            {"leased", holder.LeasedSlots(upstream.id).count()},
            {"in_flight", holder.InFlight(upstream.id).count()},
            {"budget", slots_.owner().Budget(upstream.id).count()}};
  }

  std::string MetricsText() {
    metrics_.SetLeasedSlots(static_cast<double>(slots_.holder().TotalLeased()));
    metrics_.SetInFlight(static_cast<double>(entry_server_.in_flight()));
    metrics_.SetQueued(static_cast<double>(dispatcher_.queued()));
    metrics_.SetConnections(static_cast<double>(entry_server_.connections()));
    metrics_.SetRequestMemory(
        static_cast<double>(entry_server_.request_memory()));
    if (transport_) {
      ExportTransportCounts(transport_->counts(), &exported_counts_, metrics_);
    }
    return metrics_.SerializeAsText();
  }

  base::Executor executor_;
  Settings settings_;
  base::Clock clock_;
  base::Incarnation incarnation_;
  telemetry::Metrics metrics_;
  http::Client client_;
  /// Connections on which callers' requests are sent to upstreams.
  http::ConnectionGroup caller_sends_;
  std::unique_ptr<platform_client::Log> log_;
  std::unique_ptr<platform_client::HostList> host_list_;
  std::unique_ptr<membership::ZmqTransport> transport_;
  /// Peers with a newer configuration are asked for it one at a time.
  membership::PullSchedule config_pulls_;
  config::ConfigService config_;
  membership::Membership membership_;
  upstream::EngineClient engines_;
  admission::StopDeadline stop_deadline_;
  admission::SlotService slots_;
  routing::Dispatcher dispatcher_;
  claims::ClaimService claims_;
  relay::ResumeTokens resume_tokens_;
  admission::PartQuarantine quarantine_;
  relay::GenerationRelay generation_relay_;
  relay::ServiceRelay service_relay_;
  entry::RequestHandler request_handler_;
  entry::AdminHandler admin_handler_;
  http::Server entry_server_;
  http::Server admin_server_;
  LoopMonitor loop_monitor_;
  Registry registry_;
  std::map<base::UpstreamId, bool> listed_as_leaving_;
  membership::TransportCounts exported_counts_;
  /// The transport's counts at the last check of the event loop.
  membership::TransportCounts checked_counts_;
  bool draining_ = false;
  bool config_installed_ = false;
};

Daemon::Daemon(const base::Executor& executor, Settings settings)
    : impl_(std::make_unique<Impl>(executor, std::move(settings))) {}

Daemon::~Daemon() {
  impl_->Stop();
}

absl::Status Daemon::Start() {
  return impl_->Start();
}

Task<bool> Daemon::Drain() {
  return impl_->Drain();
}

}  // namespace dandelion::kernel
