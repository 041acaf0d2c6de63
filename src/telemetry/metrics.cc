#include "telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace dandelion::telemetry {
namespace {

using prometheus::Histogram;

struct TimingRow {
  const char* name;
  const char* help;
};

// Indexed by `Timing`.
constexpr std::array kTimings = {
    TimingRow{"dandelion_first_token_seconds", "Time to the first token"},
    TimingRow{"dandelion_between_tokens_seconds", "Time between two tokens"},
    TimingRow{"dandelion_stall_seconds",
              "Time that an answer spent in gaps above the stall bound"},
    TimingRow{"dandelion_answer_seconds", "Time to the whole answer"},
};

struct CounterRow {
  CounterId counter;
  const char* name;
  const char* help;
};

constexpr std::array kCounters = {
    CounterRow{CounterId::kRetries, "dandelion_retries_total",
               "Repeated sends"},
    CounterRow{CounterId::kResumes, "dandelion_resumes_total",
               "Resumed streams"},
    CounterRow{CounterId::kGenerationsLost, "dandelion_generations_lost_total",
               "Generations lost with their engine"},
    CounterRow{CounterId::kUpstreamPreemptions,
               "dandelion_upstream_preemptions_total",
               "Preemptions that engines reported"},
    CounterRow{CounterId::kTokens, "dandelion_tokens_total",
               "Tokens passed on"},
    CounterRow{CounterId::kPeerMessagesSent,
               "dandelion_peer_messages_sent_total", "Messages sent to peers"},
    CounterRow{CounterId::kPeerMessagesReceived,
               "dandelion_peer_messages_received_total",
               "Messages received from peers"},
    CounterRow{CounterId::kPeerBytesSent, "dandelion_peer_bytes_sent_total",
               "Bytes sent to peers"},
    CounterRow{CounterId::kPeerBytesReceived,
               "dandelion_peer_bytes_received_total",
               "Bytes received from peers"},
    CounterRow{CounterId::kLogAppends, "dandelion_log_appends_total",
               "Appends to the platform's log"},
    CounterRow{CounterId::kLogReads, "dandelion_log_reads_total",
               "Reads of the platform's log"},
    CounterRow{CounterId::kClaimsWon, "dandelion_claims_won_total",
               "Claims on non-idempotent requests won"},
    CounterRow{CounterId::kOutcomesUnknown, "dandelion_outcomes_unknown_total",
               "Answers with ran unknown"},
    CounterRow{CounterId::kPartsQuarantined,
               "dandelion_parts_quarantined_total",
               "Parts of prompts that were quarantined"},
    CounterRow{CounterId::kConnectionsAccepted,
               "dandelion_connections_accepted_total",
               "Connections accepted from callers"},
    CounterRow{CounterId::kConnectionsRejected,
               "dandelion_connections_rejected_total",
               "Connections rejected at their limit"},
    CounterRow{CounterId::kConnectionsDisplaced,
               "dandelion_connections_displaced_total",
               "Connections closed at their limit that had no whole request"},
    CounterRow{CounterId::kMemoryRefusals,
               "dandelion_requests_refused_for_memory_total",
               "Requests refused for want of memory"},
    CounterRow{CounterId::kAcceptFailures, "dandelion_accept_failures_total",
               "Times at which accepting connections began to fail"},
    CounterRow{CounterId::kPeerSeconds, "dandelion_peer_seconds_total",
               "Seconds spent on messages of peers and links to them"},
    CounterRow{CounterId::kTakeUps, "dandelion_take_ups_total",
               "Streams that callers took up"},
    CounterRow{CounterId::kTakeUpsOfUnknownOrigin,
               "dandelion_take_ups_of_unknown_origin_total",
               "Streams that callers took up and whose origin was not known"},
    CounterRow{CounterId::kHandOvers, "dandelion_hand_overs_total",
               "Requests that another daemon has answered"},
    CounterRow{CounterId::kHandOversFailed, "dandelion_hand_overs_failed_total",
               "Attempts to hand a request over that gave no answer"},
};

// Upper bounds in seconds.
const Histogram::BucketBoundaries kBucketBoundaries = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.047, 0.1, 0.2, 0.5,
    1,     1.4,   2,     5,    10,   30,    60,  300, 600};

}  // namespace

class Metrics::Impl {
 public:
  explicit Impl(size_t max_organisations)
      : max_organisations_(max_organisations) {
    for (const TimingRow& row : kTimings) {
      histogram_families_.push_back(
          &prometheus::BuildHistogram().Name(row.name).Help(row.help).Register(
              registry_));
    }
    for (const CounterRow& row : kCounters) {
      counters_[row.counter] = &prometheus::BuildCounter()
                                    .Name(row.name)
                                    .Help(row.help)
                                    .Register(registry_)
                                    .Add({});
    }
    rejections_ = &prometheus::BuildCounter()
                       .Name("dandelion_refusals_total")
                       .Help("Refused requests by kind")
                       .Register(registry_);
    peer_traffic_messages_ = &prometheus::BuildCounter()
                                  .Name("dandelion_peer_kind_messages_total")
                                  .Help("Messages of peers by kind")
                                  .Register(registry_);
    peer_traffic_bytes_ = &prometheus::BuildCounter()
                               .Name("dandelion_peer_kind_bytes_total")
                               .Help("Bytes of peers' messages by kind")
                               .Register(registry_);
    rollout_shares_ =
        &prometheus::BuildGauge()
             .Name("dandelion_rollout_share")
             .Help(
                 "Share of a pool's requests that goes to the version that "
                 "is rolled out")
             .Register(registry_);
    upstream_limits_ =
        &prometheus::BuildGauge()
             .Name("dandelion_upstream_limit")
             .Help("Requests that an upstream was found to take at once")
             .Register(registry_);
    rollout_requests_ =
        &prometheus::BuildGauge()
             .Name("dandelion_rollout_requests")
             .Help("Requests of a pool since its roll-out was ordered")
             .Register(registry_);
    config_version_ =
        &MakeGauge("dandelion_config_version", "Version in force");
    leased_slots_ = &MakeGauge("dandelion_leased_slots", "Slots held by lease");
    in_flight_ = &MakeGauge("dandelion_in_flight", "Requests in progress");
    queued_ = &MakeGauge("dandelion_queued", "Requests that wait for a slot");
    request_memory_ =
        &MakeGauge("dandelion_request_memory_bytes",
                   "Memory of requests that arrive or are in progress");
    connections_ =
        &MakeGauge("dandelion_connections", "Open connections of callers");
    loop_lag_ = &MakeGauge("dandelion_loop_lag_seconds",
                           "Time by which the event loop last ran late");
  }

  Histogram& HistogramFor(Timing timing,
                          const base::OrganisationId& organisation,
                          std::string_view request_class) {
    std::string label = organisation.value();
    if (!labelled_organisations_.contains(label)) {
      if (labelled_organisations_.size() < max_organisations_) {
        labelled_organisations_.insert(label);
      } else {
        label = "other";
      }
    }
    const auto key = std::tuple(timing, label, std::string(request_class));
    auto found = histograms_.find(key);
    if (found == histograms_.end()) {
      Histogram& histogram =
          histogram_families_[static_cast<size_t>(timing)]->Add(
              {{"organisation", label}, {"class", std::string(request_class)}},
              kBucketBoundaries);
      found = histograms_.emplace(key, &histogram).first;
    }
    return *found->second;
  }

  prometheus::Registry registry_;
  size_t max_organisations_;
  std::vector<prometheus::Family<Histogram>*> histogram_families_;
  std::map<std::tuple<Timing, std::string, std::string>, Histogram*>
      histograms_;
  std::set<std::string> labelled_organisations_;
  std::map<CounterId, prometheus::Counter*> counters_;
  prometheus::Family<prometheus::Counter>* rejections_;
  prometheus::Family<prometheus::Counter>* peer_traffic_messages_;
  prometheus::Family<prometheus::Counter>* peer_traffic_bytes_;
  prometheus::Family<prometheus::Gauge>* rollout_shares_;
  prometheus::Family<prometheus::Gauge>* rollout_requests_;
  prometheus::Family<prometheus::Gauge>* upstream_limits_;
  prometheus::Gauge* config_version_;
  prometheus::Gauge* leased_slots_;
  prometheus::Gauge* in_flight_;
  prometheus::Gauge* queued_;
  prometheus::Gauge* connections_;
  prometheus::Gauge* request_memory_;
  prometheus::Gauge* loop_lag_;

 private:
  prometheus::Gauge& MakeGauge(const char* name, const char* help) {
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry_)
        .Add({});
  }
};

Metrics::Metrics(size_t max_organisations)
    : impl_(std::make_unique<Impl>(max_organisations)) {}
Metrics::~Metrics() = default;

void Metrics::Observe(Timing timing,
                      const base::OrganisationId& organisation,
                      std::string_view request_class,
                      double seconds) {
  impl_->HistogramFor(timing, organisation, request_class).Observe(seconds);
}
void Metrics::Add(CounterId counter, double amount) {
  impl_->counters_.at(counter)->Increment(amount);
}
void Metrics::AddRejection(std::string_view kind) {
  impl_->rejections_->Add({{"kind", std::string(kind)}}).Increment();
}
void Metrics::AddPeerTraffic(std::string_view direction,
                             std::string_view kind,
                             bool remote,
                             size_t bytes) {
  const prometheus::Labels labels = {{"direction", std::string(direction)},
                                     {"kind", std::string(kind)},
                                     {"scope", remote ? "remote" : "local"}};
  impl_->peer_traffic_messages_->Add(labels).Increment();
  impl_->peer_traffic_bytes_->Add(labels).Increment(static_cast<double>(bytes));
}
void Metrics::SetConfigVersion(base::Offset version) {
  impl_->config_version_->Set(static_cast<double>(version.count()));
}
void Metrics::SetLeasedSlots(double slots) {
  impl_->leased_slots_->Set(slots);
}
void Metrics::SetInFlight(double requests) {
  impl_->in_flight_->Set(requests);
}
void Metrics::SetQueued(double requests) {
  impl_->queued_->Set(requests);
}
void Metrics::SetConnections(double connections) {
  impl_->connections_->Set(connections);
}
void Metrics::SetRequestMemory(double bytes) {
  impl_->request_memory_->Set(bytes);
}
void Metrics::SetLoopLag(double seconds) {
  impl_->loop_lag_->Set(seconds);
}
void Metrics::SetRolloutShare(const base::PoolName& pool, double share) {
  impl_->rollout_shares_->Add({{"pool", pool.value()}}).Set(share);
}
void Metrics::SetUpstreamLimit(const base::UpstreamId& upstream, double limit) {
  impl_->upstream_limits_->Add({{"upstream", upstream.value()}}).Set(limit);
}
void Metrics::SetRolloutRequests(const base::PoolName& pool,
                                 std::string_view version,
                                 std::string_view outcome,
                                 double requests) {
  impl_->rollout_requests_
      ->Add({{"pool", pool.value()},
             {"version", std::string(version)},
             {"outcome", std::string(outcome)}})
      .Set(requests);
}
double Metrics::ValueOf(CounterId counter) const {
  return impl_->counters_.at(counter)->Value();
}

std::string Metrics::SerializeAsText() const {
  return prometheus::TextSerializer().Serialize(impl_->registry_.Collect());
}

}  // namespace dandelion::telemetry
