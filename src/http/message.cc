#include "http/message.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace dandelion::http {
namespace {

bool IsControl(char octet) {
  constexpr unsigned char kDelete = 0x7f;
  const auto number = static_cast<unsigned char>(octet);
  return number < ' ' || number == kDelete;
}

// Whether `text` is a token (RFC 9110, section 5.6.2).
bool IsToken(std::string_view text) {
  constexpr std::string_view kOtherChars = "!#$%&'*+-.^_`|~";
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [&](char octet) {
           return absl::ascii_isalnum(static_cast<unsigned char>(octet)) ||
                  kOtherChars.find(octet) != std::string_view::npos;
         });
}

bool IsSendableHeader(const Header& line) {
  return IsToken(line.name) &&
         std::none_of(line.value.begin(), line.value.end(), [](char octet) {
           return IsControl(octet) && octet != '\t';
         });
}

}  // namespace

bool HeaderNamesEqual(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                absl::string_view(b.data(), b.size()));
}

void Headers::Add(std::string name, std::string value) {
  lines_.push_back(Header{std::move(name), std::move(value)});
}

void Headers::Remove(std::string_view name) {
  std::erase_if(lines_, [name](const Header& line) {
    return HeaderNamesEqual(line.name, name);
  });
}

std::string_view Headers::Find(std::string_view name) const {
  for (const Header& line : lines_) {
    if (HeaderNamesEqual(line.name, name)) {
      return line.value;
    }
  }
  return {};
}

bool Headers::Has(std::string_view name) const {
  for (const Header& line : lines_) {
    if (HeaderNamesEqual(line.name, name)) {
      return true;
    }
  }
  return false;
}

size_t Headers::Count(std::string_view name) const {
  size_t count = 0;
  for (const Header& line : lines_) {
    count += HeaderNamesEqual(line.name, name) ? 1 : 0;
  }
  return count;
}

Headers WithoutHopByHopHeaders(const Headers& headers) {
  static constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
      "Connection",
      "Keep-Alive",
      "Proxy-Authenticate",
      "Proxy-Authorization",
      "TE",
      "Trailer",
      "Transfer-Encoding",
      "Upgrade",
      "Proxy-Connection",
      "Expect"};
  std::set<std::string> connection_options;
  for (const Header& line : headers.lines()) {
    if (!HeaderNamesEqual(line.name, "Connection")) {
      continue;
    }
    for (const absl::string_view name : absl::StrSplit(line.value, ',')) {
      connection_options.insert(
          absl::AsciiStrToLower(absl::StripAsciiWhitespace(name)));
    }
  }
  Headers kept;
  for (const Header& line : headers.lines()) {
    const bool hop_by_hop =
        std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                    [&](std::string_view name) {
                      return HeaderNamesEqual(line.name, name);
                    }) ||
        connection_options.contains(absl::AsciiStrToLower(line.name));
    if (!hop_by_hop) {
      kept.Add(line.name, line.value);
    }
  }
  return kept;
}

std::string_view Request::Path() const {
  const std::string_view view = target;
  return view.substr(0, view.find('?'));
}

std::string Request::Query(std::string_view name) const {
  const size_t query_start = target.find('?');
  if (query_start == std::string::npos) {
    return {};
  }
  std::string_view rest = std::string_view(target).substr(query_start + 1);
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

std::optional<base::Millis> FindRetryAfter(const Headers& headers) {
  constexpr double kMsPerSecond = 1000;
  // Longer times are no different from this one.
  constexpr double kMaxSeconds = 86'400;
  const std::string_view text = headers.Find("Retry-After");
  double seconds = 0;
  if (!absl::SimpleAtod(absl::string_view(text.data(), text.size()),
                        &seconds) ||
      !std::isfinite(seconds) || seconds < 0) {
    return std::nullopt;
  }
  return base::Millis(static_cast<int64_t>(
      std::ceil(std::min(seconds, kMaxSeconds) * kMsPerSecond)));
}

bool IsSendable(const Request& request) {
  const std::string& target = request.target;
  return IsToken(request.method) && !target.empty() &&
         std::none_of(
             target.begin(), target.end(),
             [](char octet) { return octet == ' ' || IsControl(octet); }) &&
         std::all_of(request.headers.lines().begin(),
                     request.headers.lines().end(), IsSendableHeader);
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kUnreserved = "-._~";
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char octet : text) {
    const auto number = static_cast<unsigned char>(octet);
    if (absl::ascii_isalnum(number) ||
        kUnreserved.find(octet) != std::string_view::npos) {
      encoded.push_back(octet);
    } else {
      encoded.push_back('%');
      encoded.push_back(kHexDigits[number >> 4]);
      encoded.push_back(kHexDigits[number & 0xf]);
    }
  }
  return encoded;
}

Response JsonResponse(int status, std::string body) {
  Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

}  // namespace dandelion::http
