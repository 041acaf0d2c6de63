#include "telemetry/events.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <climits>
#include <iterator>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "base/text.h"

namespace dandelion::telemetry {
namespace {

struct EventRow {
  Event event;
  Level level;
  std::string_view name;
};

constexpr std::array kEvents = {
    EventRow{Event::kDaemonStarted, Level::kInfo, "daemon_started"},
    EventRow{Event::kDaemonReady, Level::kInfo, "daemon_ready"},
    EventRow{Event::kDrainStarted, Level::kInfo, "drain_started"},
    EventRow{Event::kDrainFinished, Level::kInfo, "drain_finished"},
    EventRow{Event::kDrainTimedOut, Level::kError, "drain_timed_out"},
    EventRow{Event::kStopForced, Level::kError, "stop_forced"},
    EventRow{Event::kStartFailed, Level::kError, "start_failed"},
    EventRow{Event::kRequestCut, Level::kError, "request_cut"},
    EventRow{Event::kConnectionsDropped, Level::kWarning,
             "connections_dropped"},
    EventRow{Event::kHandlerFailed, Level::kError, "handler_failed"},
    EventRow{Event::kTaskFailed, Level::kError, "task_failed"},
    EventRow{Event::kConfigInstalled, Level::kInfo, "config_installed"},
    EventRow{Event::kConfigRejected, Level::kWarning, "config_rejected"},
    EventRow{Event::kConfigGap, Level::kWarning, "config_gap"},
    EventRow{Event::kConfigSnapshot, Level::kInfo, "config_snapshot"},
    EventRow{Event::kPlatformUnreachable, Level::kWarning,
             "platform_unreachable"},
    EventRow{Event::kPlatformBack, Level::kInfo, "platform_back"},
    EventRow{Event::kHostEntryRefused, Level::kWarning, "host_entry_refused"},
    EventRow{Event::kPeerUp, Level::kInfo, "peer_up"},
    EventRow{Event::kPeerDown, Level::kWarning, "peer_down"},
    EventRow{Event::kPeerRefused, Level::kWarning, "peer_refused"},
    EventRow{Event::kPeerMessageMalformed, Level::kWarning,
             "peer_message_malformed"},
    EventRow{Event::kPeerTraffic, Level::kInfo, "peer_traffic"},
    EventRow{Event::kUpstreamContact, Level::kInfo, "upstream_contact"},
    EventRow{Event::kUpstreamLost, Level::kWarning, "upstream_lost"},
    EventRow{Event::kUpstreamLeaving, Level::kInfo, "upstream_leaving"},
    EventRow{Event::kUpstreamCold, Level::kInfo, "upstream_cold"},
    EventRow{Event::kUpstreamWarm, Level::kInfo, "upstream_warm"},
    EventRow{Event::kRequestDone, Level::kInfo, "request_done"},
    EventRow{Event::kRequestFailed, Level::kWarning, "request_failed"},
    EventRow{Event::kRequestRetried, Level::kInfo, "request_retried"},
    EventRow{Event::kStreamResumed, Level::kInfo, "stream_resumed"},
    EventRow{Event::kGenerationLost, Level::kWarning, "generation_lost"},
    EventRow{Event::kRequestRefused, Level::kInfo, "request_refused"},
    EventRow{Event::kClaimWon, Level::kInfo, "claim_won"},
    EventRow{Event::kClaimLost, Level::kInfo, "claim_lost"},
    EventRow{Event::kClaimReleased, Level::kInfo, "claim_released"},
    EventRow{Event::kClaimUnavailable, Level::kWarning, "claim_unavailable"},
    EventRow{Event::kStoreLost, Level::kWarning, "store_lost"},
    EventRow{Event::kStoreBack, Level::kInfo, "store_back"},
    EventRow{Event::kStoreGap, Level::kInfo, "store_gap"},
    EventRow{Event::kStoreReaderStarted, Level::kInfo, "store_reader_started"},
    EventRow{Event::kStoreReaderStopped, Level::kInfo, "store_reader_stopped"},
    EventRow{Event::kStoreRecordRefused, Level::kWarning,
             "store_record_refused"},
    EventRow{Event::kSettingsReloaded, Level::kInfo, "settings_reloaded"},
    EventRow{Event::kSettingsRefused, Level::kWarning, "settings_refused"},
    EventRow{Event::kReadinessChanged, Level::kInfo, "readiness_changed"},
    EventRow{Event::kLoopLagged, Level::kWarning, "loop_lagged"},
    EventRow{Event::kAcceptFailed, Level::kError, "accept_failed"},
    EventRow{Event::kAcceptResumed, Level::kInfo, "accept_resumed"},
    EventRow{Event::kCallerRejected, Level::kWarning, "caller_rejected"},
    EventRow{Event::kRequestMemoryRefused, Level::kWarning,
             "request_memory_refused"},
    EventRow{Event::kCallerDisplaced, Level::kWarning, "caller_displaced"},
    EventRow{Event::kUpstreamLimitLearned, Level::kInfo,
             "upstream_limit_learned"},
    EventRow{Event::kUpstreamListed, Level::kInfo, "upstream_listed"},
    EventRow{Event::kUpstreamEjected, Level::kWarning, "upstream_ejected"},
    EventRow{Event::kUpstreamReadmitted, Level::kInfo, "upstream_readmitted"},
    EventRow{Event::kUpstreamLimited, Level::kInfo, "upstream_limited"},
    EventRow{Event::kUpstreamPaused, Level::kInfo, "upstream_paused"},
    EventRow{Event::kSelfReportRefused, Level::kWarning, "self_report_refused"},
    EventRow{Event::kUpstreamBrittle, Level::kWarning, "upstream_brittle"},
    EventRow{Event::kDataCentreEvacuated, Level::kInfo,
             "data_centre_evacuated"},
    EventRow{Event::kDataCentreRestored, Level::kInfo, "data_centre_restored"},
    EventRow{Event::kForwardDone, Level::kInfo, "forward_done"},
    EventRow{Event::kForwardRefused, Level::kInfo, "forward_refused"},
    EventRow{Event::kForwardRetried, Level::kInfo, "forward_retried"},
    EventRow{Event::kForwardPlaced, Level::kInfo, "forward_placed"},
    EventRow{Event::kForwardTakenWhileStopping, Level::kInfo,
             "forward_taken_while_stopping"},
    EventRow{Event::kRunCopied, Level::kInfo, "run_copied"},
    EventRow{Event::kRunMoved, Level::kInfo, "run_moved"},
    EventRow{Event::kRunLost, Level::kWarning, "run_lost"},
    EventRow{Event::kRunMoveFailed, Level::kWarning, "run_move_failed"},
    EventRow{Event::kRunBroken, Level::kInfo, "run_broken"},
    EventRow{Event::kStreamTakenUp, Level::kInfo, "stream_taken_up"},
    EventRow{Event::kStreamOriginsNotWritten, Level::kWarning,
             "stream_origins_not_written"},
    EventRow{Event::kStreamOriginsNotRead, Level::kWarning,
             "stream_origins_not_read"},
    EventRow{Event::kStreamOriginsFull, Level::kWarning, "stream_origins_full"},
    EventRow{Event::kRolloutOrdered, Level::kInfo, "rollout_ordered"},
    EventRow{Event::kRolloutDecided, Level::kInfo, "rollout_decided"},
    EventRow{Event::kRolloutRecorded, Level::kInfo, "rollout_recorded"},
    EventRow{Event::kReachLost, Level::kWarning, "reach_lost"},
    EventRow{Event::kReachRegained, Level::kInfo, "reach_regained"},
    EventRow{Event::kHandedOver, Level::kInfo, "handed_over"},
    EventRow{Event::kPartSuspected, Level::kInfo, "part_suspected"},
    EventRow{Event::kPartQuarantined, Level::kWarning, "part_quarantined"},
    EventRow{Event::kPartCleared, Level::kInfo, "part_cleared"},
    EventRow{Event::kQuarantinesRestored, Level::kInfo, "quarantines_restored"},
    EventRow{Event::kQuarantinesRecorded, Level::kInfo, "quarantines_recorded"},
};

absl::string_view ToAbslView(std::string_view text) {
  return {text.data(), text.size()};
}

std::atomic<Level> min_level{Level::kInfo};

const EventRow& FindRow(Event event) {
  for (const EventRow& row : kEvents) {
    if (row.event == event) {
      return row;
    }
  }
  return kEvents.front();
}

std::string_view ToString(Level level) {
  switch (level) {
    case Level::kInfo:
      return "info";
    case Level::kWarning:
      return "warning";
    case Level::kError:
      return "error";
  }
  return "error";
}

// A pipe that polls as writable accepts this many bytes without blocking.
constexpr size_t kMaxLineBytes = PIPE_BUF;
// Stands for the rest of a value.
constexpr std::string_view kCutMark = "...";

// Whether `character`, in UTF-8, is printed as it is.
bool IsPrintable(std::string_view character) {
  constexpr unsigned char kDelete = 0x7f;
  // Control characters beyond ASCII follow this byte.
  constexpr unsigned char kControlLead = 0xc2;
  constexpr unsigned char kLastControl = 0x9f;
  const auto first = static_cast<unsigned char>(character[0]);
  return first >= ' ' && first != kDelete &&
         (first != kControlLead ||
          static_cast<unsigned char>(character[1]) > kLastControl);
}

// Escapes the character, or the byte that is in none, at the start of `text`.
// Returns it and removes it from `text`.
std::string TakeEscaped(std::string_view* text) {
  const size_t length = base::Utf8CharLength(*text);
  const std::string_view character =
      text->substr(0, std::max<size_t>(1, length));
  text->remove_prefix(character.size());
  if (length > 0 && IsPrintable(character)) {
    const bool is_special = character == "\"" || character == "\\";
    return absl::StrCat(is_special ? "\\" : "", ToAbslView(character));
  }
  std::string escaped;
  for (const char octet : character) {
    fmt::format_to(std::back_inserter(escaped), "\\x{:02x}",
                   static_cast<unsigned char>(octet));
  }
  return escaped;
}

bool IsPlain(std::string_view value) {
  return !value.empty() &&
         std::all_of(value.begin(), value.end(), [](char octet) {
           return absl::ascii_isgraph(static_cast<unsigned char>(octet)) &&
                  octet != '"' && octet != '=' && octet != '\\';
         });
}

// Appends `value` in logfmt: as it is if it consists of ASCII's visible
// characters but '=', quotes and backslashes, else quoted and escaped. A value
// that takes more than `max_bytes` is cut there.
void AppendValue(fmt::memory_buffer& out,
                 std::string_view value,
                 size_t max_bytes) {
  if (value.size() <= max_bytes && IsPlain(value)) {
    out.append(value.data(), value.data() + value.size());
    return;
  }
  const size_t end = out.size() + max_bytes;
  out.push_back('"');
  while (!value.empty()) {
    const std::string escaped = TakeEscaped(&value);
    // A closing quote follows, and the mark if the value is cut.
    const size_t room = value.empty() ? 1 : kCutMark.size() + 1;
    if (out.size() + escaped.size() + room > end) {
      out.append(kCutMark.data(), kCutMark.data() + kCutMark.size());
      break;
    }
    out.append(escaped.data(), escaped.data() + escaped.size());
  }
  out.push_back('"');
}

// Appends `fields` with values of up to `max_value_bytes` each.
void AppendFields(fmt::memory_buffer& line,
                  std::initializer_list<Field> fields,
                  size_t max_value_bytes) {
  for (const Field& field : fields) {
    fmt::format_to(std::back_inserter(line), " {}=", field.key);
    AppendValue(line, field.value, max_value_bytes);
  }
  line.push_back('\n');
}

// The longest values with which `fields` fit into `bytes`.
size_t FairValueBytes(std::initializer_list<Field> fields, size_t bytes) {
  constexpr size_t kSeparators = 2;
  size_t used = 1;
  for (const Field& field : fields) {
    used += field.key.size() + kSeparators;
  }
  return used < bytes ? (bytes - used) / fields.size() : 0;
}

std::atomic<uint64_t> dropped_lines{0};

// Writes `line` if standard output accepts it without blocking; otherwise drops
// it and counts it as dropped.
void WriteOrDrop(std::string_view line) {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  const bool writable = line.size() <= kMaxLineBytes &&
                        poll(&output, 1, 0) == 1 &&
                        (output.revents & POLLOUT) != 0;
  if (!writable || write(STDOUT_FILENO, line.data(), line.size()) !=
                       static_cast<ssize_t>(line.size())) {
    dropped_lines.fetch_add(1, std::memory_order_relaxed);
  }
}

}  // namespace

uint64_t DroppedLines() {
  return dropped_lines.load(std::memory_order_relaxed);
}

void Emit(Event event, std::initializer_list<Field> fields) {
  const EventRow& row = FindRow(event);
  if (row.level < min_level.load(std::memory_order_relaxed)) {
    return;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto unix_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line), "time={} level={} event={} name={}",
                 unix_ms, ToString(row.level), static_cast<int>(event),
                 row.name);
  const size_t head_bytes = line.size();
  AppendFields(line, fields, kMaxLineBytes);
  if (line.size() > kMaxLineBytes) {
    line.resize(head_bytes);
    AppendFields(line, fields,
                 FairValueBytes(fields, kMaxLineBytes - head_bytes));
  }
  WriteOrDrop({line.data(), line.size()});
}

std::string_view NameOf(Event event) {
  return FindRow(event).name;
}

Level LevelOf(Event event) {
  return FindRow(event).level;
}

void SetMinLevel(Level level) {
  min_level.store(level, std::memory_order_relaxed);
}

}  // namespace dandelion::telemetry
