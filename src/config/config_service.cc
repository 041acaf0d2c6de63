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
                             platform::Log& log,
                             Hooks hooks)
    : executor_(std::move(executor)),
      clock_(std::move(clock)),
      log_(log),
      hooks_(std::move(hooks)) {}

void ConfigService::Start() {
  base::Spawn(executor_, Run());
}

Offset ConfigService::version() const {
  return tables_ ? tables_->version : Offset(0);
}

Task<void> ConfigService::Run() {
  Millis last_read(-kBackstopInterval.count());
  while (!stopped_) {
    const bool reader = hooks_.reader_rank() < kReaders || !tables_;
    if (reader || clock_.Now() - last_read >= kBackstopInterval) {
      last_read = clock_.Now();
      co_await ReadOnce();
      co_await RefreshRetention();
    }
    co_await base::Delay(kReadInterval);
  }
}

Task<void> ConfigService::ReadOnce() {
  for (;;) {
    const Offset from = fold_.next();
    const absl::StatusOr<platform::LogPage> page =
        co_await log_.Read(kConfigStream, from);
    NotePlatform(page.ok(), page.status());
    if (!page.ok()) {
      co_return;
    }
    FoldPage(*page);
    Install();
    if (fold_.next() == from || fold_.next() >= page->next) {
      co_return;
    }
  }
}

void ConfigService::FoldPage(const platform::LogPage& page) {
  retention_ = page.retention;
  for (const platform::LogRecord& record : page.records) {
    const FoldResult result = fold_.Apply(record.offset, record.data);
    if (result.folded == Folded::kAccepted ||
        result.folded == Folded::kSnapshot) {
      carried_since_ = clock_.Now() - record.age;
      gap_reported_ = false;
    } else if (result.folded == Folded::kRejected) {
      Emit(Event::kConfigRejected,
           {{"offset", absl::StrCat(record.offset.count())},
            {"reason", std::string(result.reason.message())}});
    } else if (result.folded == Folded::kGap && !gap_reported_) {
      gap_reported_ = true;
      Emit(Event::kConfigGap, {{"next", absl::StrCat(fold_.next().count())},
                               {"first", absl::StrCat(page.first.count())}});
    }
  }
}

// Re-appends the state before the log forgets the records that made it. The
// daemon of the lowest rank does so first.
Task<void> ConfigService::RefreshRetention() {
  constexpr int64_t kRankDelayPercent = 5;
  constexpr int64_t kFirstPercent = 50;
  const int64_t percent =
      kFirstPercent + kRankDelayPercent * hooks_.reader_rank();
  const Millis age = clock_.Now() - carried_since_;
  if (!platform_reachable_ || fold_.version() == Offset(0) ||
      retention_ == Millis(0) ||
      age.count() * 100 < retention_.count() * percent) {
    co_return;
  }
  ConfigRecord snapshot = fold_.Snapshot();
  snapshot.publish_id = base::RandomName();
  const platform::AppendResult appended =
      co_await log_.Append(kConfigStream, Encode(snapshot));
  if (appended.offset.ok()) {
    Emit(Event::kConfigSnapshot,
         {{"offset", absl::StrCat(appended.offset->count())},
          {"version", absl::StrCat(snapshot.version.count())}});
  }
}

void ConfigService::NotePlatform(bool reachable, const absl::Status& why) {
  if (reachable == platform_reachable_) {
    return;
  }
  platform_reachable_ = reachable;
  Emit(reachable ? Event::kPlatformBack : Event::kPlatformUnreachable,
       {{"reason", std::string(why.message())}});
}

void ConfigService::Install() {
  if (fold_.version() <= version()) {
    return;
  }
  tables_ = fold_.tables();
  Emit(Event::kConfigInstalled, {{"version", absl::StrCat(version().count())}});
  hooks_.on_install(tables_);
}

void ConfigService::PullFrom(const base::HostId& peer) {
  proto::Envelope message;
  message.mutable_config_pull()->set_version(fold_.version().count());
  hooks_.send(peer, message);
}

proto::Envelope ConfigService::OnPull(const proto::ConfigPull& pull) const {
  proto::Envelope message;
  proto::ConfigRows& rows = *message.mutable_config_rows();
  rows.set_version(fold_.version().count());
  rows.set_next(fold_.next().count());
  for (const auto& [key, row] : fold_.ChangedSince(Offset(pull.version()))) {
    proto::ConfigRow& out = *rows.add_rows();
    out.set_key(key);
    out.set_value(row.value);
    out.set_version(row.version.count());
  }
  return message;
}

void ConfigService::OnRows(const proto::ConfigRows& rows) {
  Rows newer;
  for (const proto::ConfigRow& row : rows.rows()) {
    newer[row.key()] = Row{row.value(), Offset(row.version())};
  }
  if (fold_.Adopt(newer, Offset(rows.version()), Offset(rows.next()))) {
    carried_since_ = clock_.Now();
    Install();
  }
}

}  // namespace dandelion::config
