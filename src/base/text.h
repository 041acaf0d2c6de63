#pragma once

#include <cstddef>
#include <string_view>

namespace dandelion::base {

/// Returns the length of the UTF-8 sequence of one character at the start of
/// `text`, in bytes; 0 if there is none.
size_t Utf8CharLength(std::string_view text);

/// Whether a text from outside can be sent in a protobuf string and as JSON: it
/// has 1 to 255 bytes of UTF-8 and no control characters.
bool IsPlainText(std::string_view text);

/// Whether a text from outside can name something: it is plain text without a
/// space at either end, so that it can be an HTTP header's value, too.
bool IsValidName(std::string_view text);

}  // namespace dandelion::base
