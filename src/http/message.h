#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace dandelion::http {

/// One header line.
struct Header {
  std::string name;
  std::string value;
};

/// Whether two header names are the same, without regard to case.
bool SameHeaderName(std::string_view a, std::string_view b);

/// Header lines in the order in which they were received.
class Headers {
 public:
  void Add(std::string name, std::string value);
  /// The first value under `name`, without regard to case; empty if absent.
  std::string_view Find(std::string_view name) const;
  bool Has(std::string_view name) const;
  /// How many lines bear `name`.
  size_t Count(std::string_view name) const;
  const std::vector<Header>& lines() const { return lines_; }

 private:
  std::vector<Header> lines_;
};

/// A request with its whole body.
struct Request {
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  std::string body;

  /// The target without its query.
  std::string_view Path() const;
  /// The value of a query parameter; empty if absent.
  std::string Query(std::string_view name) const;
};

/// An answer with its whole body, or the head of a streamed answer.
struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

/// The lines of `headers` that concern more than one connection. `Host` stays.
Headers WithoutConnectionHeaders(const Headers& headers);

/// A JSON answer.
Response JsonResponse(int status, std::string body);

}  // namespace dandelion::http
