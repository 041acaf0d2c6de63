#include "routing/self_report_exchange.h"

namespace dandelion::routing {

using base::Millis;

void AddSelfReports(SelfReports& reports,
                    bool all,
                    Millis now,
                    proto::FleetBeat* heartbeat) {
  for (const SharedSelfReport& report : reports.CollectShared(all, now)) {
    proto::UpstreamSelfReport* out = heartbeat->add_self_reports();
    out->set_upstream(report.upstream.value());
    out->set_started_at(report.started_at);
    out->set_leaving(report.leaving);
    if (report.requests_per_second) {
      out->set_requests_per_second(*report.requests_per_second);
    }
    out->set_limit_age_ms(report.limit_age.count());
    if (report.rejections_per_second) {
      out->set_rejections_per_second(*report.rejections_per_second);
    }
    out->set_brittle_age_ms(report.brittle_age.count());
  }
}

void ApplySelfReports(const proto::FleetBeat& heartbeat,
                      Millis now,
                      SelfReports& reports) {
  for (const proto::UpstreamSelfReport& in : heartbeat.self_reports()) {
    SharedSelfReport report;
    report.upstream = base::UpstreamId(in.upstream());
    report.started_at = in.started_at();
    report.leaving = in.leaving();
    if (in.has_requests_per_second() && in.requests_per_second() >= 0) {
      report.requests_per_second = in.requests_per_second();
    }
    report.limit_age = base::AgeFromPeer(in.limit_age_ms());
    if (in.has_rejections_per_second() && in.rejections_per_second() >= 0) {
      report.rejections_per_second = in.rejections_per_second();
    }
    report.brittle_age = in.has_brittle_age_ms()
                             ? base::AgeFromPeer(in.brittle_age_ms())
                             : NamedNumber::kLifetime;
    reports.ApplyShared(report, now);
  }
}

}  // namespace dandelion::routing
