#include "base/json_values.h"

namespace dandelion::base {

using nlohmann::json;

namespace {

bool IsNestedTooDeeply(std::string_view text) {
  size_t depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size() && depth <= kMaxJsonDepth; ++i) {
    const char octet = text[i];
    if (in_string) {
      in_string = octet != '"';
      i += octet == '\\' ? 1 : 0;
    } else if (octet == '"') {
      in_string = true;
    } else if (octet == '[' || octet == '{') {
      ++depth;
    } else if ((octet == ']' || octet == '}') && depth > 0) {
      --depth;
    }
  }
  return depth > kMaxJsonDepth;
}

}  // namespace

json ParseJson(std::string_view text) {
  return IsNestedTooDeeply(text) ? json(json::value_t::discarded)
                                 : json::parse(text, nullptr, false);
}

std::optional<std::string> TextOf(const json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_number()) {
    return value.dump();
  }
  return std::nullopt;
}

std::optional<int64_t> IntegerOf(const json& value,
                                 int64_t lowest,
                                 int64_t highest) {
  if (!value.is_number()) {
    return std::nullopt;
  }
  // As a double, so that numbers that fit into no integer compare as well.
  const auto number = value.get<double>();
  if (!(number >= static_cast<double>(lowest) &&
        number <= static_cast<double>(highest))) {
    return std::nullopt;
  }
  return value.get<int64_t>();
}

}  // namespace dandelion::base
