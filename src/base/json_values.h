#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace dandelion::base {

/// Returns the text of a JSON value from outside that names something: a string
/// as it is, a number as it is written. Empty for any other type, which may be
/// nested too deeply to be written.
std::optional<std::string> TextOf(const nlohmann::json& value);

/// Returns the integer of a JSON number from outside; its fraction is dropped.
/// Empty if `value` is no number or is outside of [`lowest`, `highest`], which
/// must lie within 2^53 of 0.
std::optional<int64_t> IntegerOf(const nlohmann::json& value,
                                 int64_t lowest,
                                 int64_t highest);

}  // namespace dandelion::base
