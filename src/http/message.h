#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace dandelion::http {

/// One header line.
struct Header {
  std::string name;
  std::string value;
};

/// Compares two header names, ignoring case.
bool HeaderNamesEqual(std::string_view a, std::string_view b);

/// Header lines in the order in which they were received.
class Headers {
 public:
  void Add(std::string name, std::string value);
  /// Removes all header lines named `name`, ignoring case.
  void Remove(std::string_view name);
  /// The first value of the header `name`, ignoring case; empty if absent.
  std::string_view Find(std::string_view name) const;
  /// Whether there is a header `name`, ignoring case.
  bool Has(std::string_view name) const;
  /// The number of header lines named `name`, ignoring case.
  size_t Count(std::string_view name) const;
  const std::vector<Header>& lines() const { return lines_; }

 private:
  std::vector<Header> lines_;
};

/// A request with its complete body.
struct Request {
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  std::string body;

  /// The target without its query.
  std::string_view Path() const;
  /// The value of the query parameter `name` as written in the target, without
  /// percent-decoding; empty if absent.
  std::string Query(std::string_view name) const;
};

/// A response with its complete body, or the head of a streamed response.
struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

/// Returns `headers` without `Expect` and the hop-by-hop headers, including
/// those that `Connection` lists. Keeps `Host`.
Headers WithoutHopByHopHeaders(const Headers& headers);

/// Returns the time in a response's `Retry-After`, in seconds, which may have a
/// fraction. Empty if there is none or it can't be read; a date can't.
std::optional<base::Millis> FindRetryAfter(const Headers& headers);

/// Whether the request can be sent as it is: its method and the names of its
/// headers are tokens, its target has neither spaces nor control characters,
/// and neither have its headers' values, but for spaces and tabs. Anything else
/// could end a line early and begin another one.
bool IsSendable(const Request& request);

/// Returns `text` with all bytes but letters, digits and `-._~` as `%XX`, so
/// that it can be one segment of a target's path or one value of its query.
std::string PercentEncode(std::string_view text);

/// Returns a response with a JSON body.
Response JsonResponse(int status, std::string body);

}  // namespace dandelion::http
