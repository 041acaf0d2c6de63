#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelion::relay {

/// One complete event of a stream.
struct StreamEvent {
  /// The event's bytes, with the blank line that ends it.
  std::string bytes;
  /// The number in its "id:" line, if it has one.
  std::optional<int64_t> id;
};

/// Splits a byte stream into complete server-sent events, so that a broken
/// stream can be resumed on another upstream after the last complete event.
class EventSplitter {
 public:
  /// Appends bytes and returns the events that they complete.
  std::vector<StreamEvent> Append(std::string_view bytes);
  /// Returns the bytes of the incomplete event at the end; empty if there is
  /// none.
  std::string_view incomplete() const { return incomplete_; }
  /// Discards the incomplete event.
  void Reset() { incomplete_.clear(); }

 private:
  std::string incomplete_;
};

}  // namespace dandelion::relay
