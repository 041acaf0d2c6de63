#include "relay/event_splitter.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

namespace dandelion::relay {
namespace {

// The length of the first event in `text` with its blank line; 0 if it is not
// whole.
size_t EventLength(std::string_view text) {
  for (size_t at = text.find('\n'); at != text.npos;
       at = text.find('\n', at + 1)) {
    if (text.substr(at, 2) == "\n\n") {
      return at + 2;
    }
    if (text.substr(at, 3) == "\n\r\n") {
      return at + 3;
    }
  }
  return 0;
}

std::optional<int64_t> IdOf(std::string_view event) {
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

std::vector<StreamEvent> EventSplitter::Feed(std::string_view bytes) {
  rest_.append(bytes);
  std::vector<StreamEvent> events;
  size_t start = 0;
  for (;;) {
    const std::string_view left = std::string_view(rest_).substr(start);
    const size_t length = EventLength(left);
    if (length == 0) {
      break;
    }
    const std::string_view event = left.substr(0, length);
    events.push_back({std::string(event), IdOf(event)});
    start += length;
  }
  rest_.erase(0, start);
  return events;
}

}  // namespace dandelion::relay
