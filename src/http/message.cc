#include "http/message.h"

#include <utility>

#include "absl/strings/match.h"

namespace dandelion::http {
namespace {

bool SameName(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                absl::string_view(b.data(), b.size()));
}

}  // namespace

void Headers::Add(std::string name, std::string value) {
  lines_.push_back(Header{std::move(name), std::move(value)});
}

std::string_view Headers::Find(std::string_view name) const {
  for (const Header& line : lines_) {
    if (SameName(line.name, name)) {
      return line.value;
    }
  }
  return {};
}

bool Headers::Has(std::string_view name) const {
  for (const Header& line : lines_) {
    if (SameName(line.name, name)) {
      return true;
    }
  }
  return false;
}

std::string_view Request::Path() const {
  const std::string_view whole = target;
  return whole.substr(0, whole.find('?'));
}

std::string Request::Query(std::string_view name) const {
  const size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return {};
  }
  std::string_view rest = std::string_view(target).substr(mark + 1);
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos
                 ? std::string()
                 : std::string(pair.substr(equals + 1));
    }
    rest = end == std::string_view::npos ? std::string_view()
                                         : rest.substr(end + 1);
  }
  return {};
}

Response JsonResponse(int status, std::string body) {
  Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

}  // namespace dandelion::http
