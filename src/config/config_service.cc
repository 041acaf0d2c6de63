#include "config/config_service.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "telemetry/events.h"

namespace dandelion::config {

using base::Millis;
using base::Offset;
using base::Task;
using telemetry::Emit;
using telemetry::Event;

ConfigService::ConfigService(base::Executor executor,
                             base::Clock clock,
                             platform_client::Log& log,
                             Hooks hooks)
    : executor_(std::move(executor)),
      clock_(std::move(clock)),
      log_(log),
      hooks_(std::move(hooks)) {}

void ConfigService::Start() {
  base::SpawnRestarting(executor_, [this] { return ReadLoop(); });
}

Offset ConfigService::version() const {
  return tables_ ? tables_->version : Offset(0);
}

Task<void> ConfigService::ReadLoop() {
  Millis last_read(-kFallbackReadInterval.count());
  while (!stopped_) {
    const bool is_reader = hooks_.reader_rank() < kReaderCount || !tables_;
    if (is_reader || clock_.Now() - last_read >= kFallbackReadInterval) {
      last_read = clock_.Now();
      co_await CatchUp();
      co_await AppendSnapshotIfDue();
    }
    co_await base::SleepFor(kReadInterval);
  }
}

// Reads and applies the log to its end, or up to a gap or an error.
Task<void> ConfigService::CatchUp() {
  for (;;) {
    const Offset from = state_.next_offset();
    const absl::StatusOr<platform_client::LogPage> page =
        co_await log_.Read(kConfigTopic, from);
    SetPlatformReachable(page.ok(), page.status());
    if (!page.ok()) {
      co_return;
    }
    ApplyPage(*page);
    InstallTables();
    if (state_.next_offset() == from ||
        state_.next_offset() >= page->next_offset) {
      co_return;
    }
  }
}

void ConfigService::ApplyPage(const platform_client::LogPage& page) {
  retention_ = page.retention;
  for (const platform_client::LogRecord& record : page.records) {
    const ApplyResult result = state_.Apply(record.offset, record.data);
    if (result.outcome == ApplyOutcome::kAccepted ||
        result.outcome == ApplyOutcome::kSnapshot) {
      version_logged_at_ = clock_.Now() - record.age;
      gap_reported_ = false;
    } else if (result.outcome == ApplyOutcome::kRejected) {
      Emit(Event::kConfigRejected,
           {{"offset", absl::StrCat(record.offset.count())},
            {"reason", std::string(result.reason.message())}});
    } else if (result.outcome == ApplyOutcome::kGap && !gap_reported_) {
      gap_reported_ = true;
      Emit(Event::kConfigGap,
           {{"next", absl::StrCat(state_.next_offset().count())},
            {"first", absl::StrCat(page.first_offset.count())}});
    }
  }
}

// Appends a snapshot before the log drops the records that the current state
// was built from. Rank 0 does so when half of the retention has passed, and
// each further rank 5% of the retention later, so that usually one daemon
// appends.
Task<void> ConfigService::AppendSnapshotIfDue() {
  constexpr int64_t kPercentPerRank = 5;
  constexpr int64_t kFirstRankPercent = 50;
  const int64_t percent =
      kFirstRankPercent + kPercentPerRank * hooks_.reader_rank();
  const Millis age = clock_.Now() - version_logged_at_;
  if (!platform_reachable_ || state_.version() == Offset(0) ||
      retention_ == Millis(0) ||
      age.count() * 100 < retention_.count() * percent) {
    co_return;
  }
  ConfigRecord snapshot = state_.Snapshot();
  snapshot.publish_id = base::RandomHexId();
  const platform_client::AppendResult appended =
      co_await log_.Append(kConfigTopic, EncodeConfigRecord(snapshot));
  if (appended.offset.ok()) {
    Emit(Event::kConfigSnapshot,
         {{"offset", absl::StrCat(appended.offset->count())},
          {"version", absl::StrCat(snapshot.version.count())}});
  }
}

void ConfigService::SetPlatformReachable(bool reachable,
                                         const absl::Status& read_status) {
  if (reachable == platform_reachable_) {
    return;
  }
  platform_reachable_ = reachable;
  Emit(reachable ? Event::kPlatformBack : Event::kPlatformUnreachable,
       {{"reason", std::string(read_status.message())}});
}

void ConfigService::InstallTables() {
  if (state_.version() <= version()) {
    return;
  }
  tables_ = state_.tables();
  Emit(Event::kConfigInstalled, {{"version", absl::StrCat(version().count())}});
  hooks_.on_tables_installed(tables_);
}

void ConfigService::RequestRows(const base::HostId& peer) {
  proto::Envelope message;
  message.mutable_config_pull()->set_version(state_.version().count());
  hooks_.send(peer, message);
}

proto::Envelope ConfigService::OnConfigPull(
    const proto::ConfigPull& pull) const {
  proto::Envelope message;
  proto::ConfigRows& rows = *message.mutable_config_rows();
  rows.set_version(state_.version().count());
  rows.set_next(state_.next_offset().count());
  for (const auto& [key, row] : state_.ChangedSince(Offset(pull.version()))) {
    proto::ConfigRow& out = *rows.add_rows();
    out.set_key(key);
    out.set_value(row.value);
    out.set_version(row.version.count());
  }
  return message;
}

void ConfigService::OnConfigRows(const proto::ConfigRows& rows) {
  Rows newer;
  for (const proto::ConfigRow& row : rows.rows()) {
    newer[row.key()] = Row{row.value(), Offset(row.version())};
  }
  if (state_.MergeRows(newer, Offset(rows.version()), Offset(rows.next()))) {
    version_logged_at_ = clock_.Now();
    InstallTables();
  }
}

}  // namespace dandelion::config
