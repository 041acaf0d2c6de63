#include "relay/resume_token.h"

#include <sodium.h>

#include <array>
#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "base/error.h"

namespace dandelion::relay {
namespace {

using nlohmann::json;

absl::Status InvalidTokenError() {
  return base::MakeError(base::ErrorKind::kUnauthorised,
                         "the resume token is not valid",
                         "send the id of the last event that was received");
}

const unsigned char* ToBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

ResumeTokens::ResumeTokens(std::string_view key)
    : key_(absl::HexStringToBytes(absl::string_view(key.data(), key.size()))) {
  key_.resize(crypto_auth_KEYBYTES, '\0');
}

std::string ResumeTokens::Seal(const ResumePoint& point) const {
  const std::string body =
      json({point.upstream.value(), point.address, point.incarnation.value(),
            point.generation.value(), point.organisation.value(),
            point.route.value()})
          .dump(-1, ' ', false, json::error_handler_t::replace);
  std::array<unsigned char, crypto_auth_BYTES> mac;
  crypto_auth(mac.data(), ToBytes(body), body.size(), ToBytes(key_));
  const std::string sealed(mac.begin(), mac.end());
  return absl::WebSafeBase64Escape(sealed + body);
}

absl::StatusOr<ResumePoint> ResumeTokens::Open(std::string_view token) const {
  std::string sealed;
  if (!absl::WebSafeBase64Unescape(
          absl::string_view(token.data(), token.size()), &sealed) ||
      sealed.size() <= crypto_auth_BYTES) {
    return InvalidTokenError();
  }
  const std::string body = sealed.substr(crypto_auth_BYTES);
  if (crypto_auth_verify(ToBytes(sealed), ToBytes(body), body.size(),
                         ToBytes(key_)) != 0) {
    return InvalidTokenError();
  }
  const json parts = json::parse(body, nullptr, false);
  constexpr size_t kFieldCount = 6;
  if (!parts.is_array() || parts.size() != kFieldCount) {
    return InvalidTokenError();
  }
  ResumePoint point;
  point.upstream = base::UpstreamId(parts[0]);
  point.address = parts[1];
  point.incarnation = base::Incarnation(parts[2]);
  point.generation = base::GenerationId(parts[3]);
  point.organisation = base::OrganisationId(parts[4]);
  point.route = base::RouteName(parts[5]);
  return point;
}

}  // namespace dandelion::relay
