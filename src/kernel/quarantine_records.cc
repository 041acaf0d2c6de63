#include "kernel/quarantine_records.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "admission/quarantine_record.h"
#include "telemetry/events.h"

namespace dandelion::kernel {
namespace {

using base::Millis;
using base::Task;
using telemetry::Emit;
using telemetry::Event;

constexpr Millis kCheckInterval{200};

}  // namespace

QuarantineRecords::QuarantineRecords(base::Clock clock,
                                     admission::PartQuarantine& quarantine,
                                     store::QuarantineStore& store,
                                     std::function<bool()> is_keeper)
    : clock_(std::move(clock)),
      quarantine_(quarantine),
      store_(store),
      is_keeper_(std::move(is_keeper)) {}

Task<void> QuarantineRecords::Keep() {
  for (;;) {
    co_await base::SleepFor(kCheckInterval);
    if (!is_keeper_()) {
      continue;
    }
    if (!end_) {
      co_await Restore();
      continue;
    }
    std::string identity =
        admission::IdentifyQuarantines(quarantine_, clock_.Now());
    if (identity != recorded_) {
      co_await Record(std::move(identity));
    }
  }
}

Task<void> QuarantineRecords::Restore() {
  const absl::StatusOr<store::QuarantineStore::Snapshot> snapshot =
      co_await store_.ReadQuarantines();
  if (!snapshot.ok()) {
    co_return;  // The reader of the store logs that it is away.
  }
  const Millis now = clock_.Now();
  const bool is_readable =
      snapshot->record.empty() ||
      admission::RestoreQuarantines(snapshot->record, now, base::UnixNowMs(),
                                    quarantine_);
  end_ = snapshot->end;
  recorded_ = admission::IdentifyQuarantines(quarantine_, now);
  if (!snapshot->record.empty()) {
    Emit(Event::kQuarantinesRestored,
         {{"count", absl::StrCat(quarantine_.quarantine_count())},
          {"readable", is_readable ? "1" : "0"}});
  }
}

Task<void> QuarantineRecords::Record(std::string identity) {
  const absl::Status written = co_await store_.WriteQuarantines(
      admission::EncodeQuarantines(quarantine_, clock_.Now(),
                                   base::UnixNowMs()),
      *end_);
  Emit(Event::kQuarantinesRecorded,
       {{"count", absl::StrCat(quarantine_.quarantine_count())},
        {"written", written.ok() ? "1" : "0"},
        {"reason", std::string(written.message())}});
  if (!written.ok()) {
    // Another daemon may have written, or this write may take effect later.
    end_.reset();
    co_return;
  }
  ++*end_;
  recorded_ = std::move(identity);
}

}  // namespace dandelion::kernel
