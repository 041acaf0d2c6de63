#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace dandelion::base {

/// Levels of arrays and objects that JSON from outside may have.
inline constexpr size_t kMaxJsonDepth = 100;

/// Parses JSON from outside. Returns a discarded value if it is malformed or
/// nested deeper than `kMaxJsonDepth`: copying or writing it calls itself for
/// each level.
nlohmann::json ParseJson(std::string_view text);

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
