#include "base/json_values.h"

namespace dandelion::base {

using nlohmann::json;

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
