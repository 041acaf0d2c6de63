#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelion::relay {

/// One whole event of a stream.
struct StreamEvent {
  /// The event's bytes, with the blank line that ends it.
  std::string bytes;
  /// Its number, if it has one.
  std::optional<int64_t> id;
};

/// Cuts a stream of bytes into whole events, so that a stream can go on at
/// another upstream after the last whole one.
class EventSplitter {
 public:
  /// Takes bytes as they arrive; returns the events that are whole now.
  std::vector<StreamEvent> Feed(std::string_view bytes);
  /// Bytes of an event that is not whole.
  std::string_view rest() const { return rest_; }
  void Reset() { rest_.clear(); }

 private:
  std::string rest_;
};

}  // namespace dandelion::relay
