#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "config/problem.h"

namespace dandelion::config {

/// Largest file that is read: several times a configuration of 43,000
/// organisations. Bounds the memory that a wrong file takes.
inline constexpr size_t kMaxFileBytes = size_t{16} * 1024 * 1024;
/// Deepest nesting of objects and arrays; that of valid files is 7.
inline constexpr size_t kMaxDepth = 32;

/// Checks that `text` is a JSON document within these bounds, in which no
/// object has a key twice: readers would take the last one without a word.
/// Needs little memory. Returns an empty list if it is.
std::vector<Problem> CheckSyntax(std::string_view text);

}  // namespace dandelion::config
