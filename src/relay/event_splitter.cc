#include "relay/event_splitter.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

namespace dandelion::relay {
namespace {

// Returns the length in bytes of the first event in `text` with the blank line
// that ends it, or 0 if the event is incomplete.
size_t EventLength(std::string_view text) {
  for (size_t newline = text.find('\n'); newline != text.npos;
       newline = text.find('\n', newline + 1)) {
    if (text.substr(newline, 2) == "\n\n") {
      return newline + 2;
    }
    if (text.substr(newline, 3) == "\n\r\n") {
      return newline + 3;
    }
  }
  return 0;
}

// Returns the number in the first "id:" line that has one.
std::optional<int64_t> ParseEventId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const size_t end = event.find('\n');
    const std::string_view line = event.substr(0, end);
    int64_t id = 0;
    if (line.starts_with(kField) &&
        absl::SimpleAtoi(
            absl::StripAsciiWhitespace(absl::string_view(
                line.data() + kField.size(), line.size() - kField.size())),
            &id)) {
      return id;
    }
    event = end == event.npos ? std::string_view() : event.substr(end + 1);
  }
  return std::nullopt;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Append(std::string_view bytes) {
  incomplete_.append(bytes);
  std::vector<StreamEvent> events;
  size_t start = 0;
  for (;;) {
    const std::string_view left = std::string_view(incomplete_).substr(start);
    const size_t length = EventLength(left);
    if (length == 0) {
      break;
    }
    const std::string_view event = left.substr(0, length);
    events.push_back({std::string(event), ParseEventId(event)});
    start += length;
  }
  incomplete_.erase(0, start);
  return events;
}

}  // namespace dandelion::relay
