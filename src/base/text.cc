#include "base/text.h"

namespace dandelion::base {
namespace {

constexpr size_t kMaxTextBytes = 255;
constexpr unsigned char kDelete = 0x7f;

/// The first bytes of sequences of one length and the characters that they may
/// hold; smaller ones have a shorter sequence.
struct Utf8Form {
  unsigned char mask;
  unsigned char mark;
  char32_t least;
};
// By length, from 1.
constexpr Utf8Form kForms[] = {{0x80, 0x00, 0},
                               {0xe0, 0xc0, 0x80},
                               {0xf0, 0xe0, 0x800},
                               {0xf8, 0xf0, 0x10000}};
constexpr unsigned char kNextMask = 0xc0;
constexpr unsigned char kNextMark = 0x80;
constexpr int kNextBits = 6;

bool IsCharacter(char32_t character) {
  constexpr char32_t kFirstSurrogate = 0xd800;
  constexpr char32_t kLastSurrogate = 0xdfff;
  constexpr char32_t kLast = 0x10ffff;
  return character <= kLast &&
         (character < kFirstSurrogate || character > kLastSurrogate);
}

/// Whether `text` begins with a sequence of `length` bytes.
bool HasForm(std::string_view text, const Utf8Form& form, size_t length) {
  const auto first = static_cast<unsigned char>(text[0]);
  if (text.size() < length || (first & form.mask) != form.mark) {
    return false;
  }
  char32_t character = first & static_cast<unsigned char>(~form.mask);
  for (size_t i = 1; i < length; ++i) {
    const auto next = static_cast<unsigned char>(text[i]);
    if ((next & kNextMask) != kNextMark) {
      return false;
    }
    character = character << kNextBits |
                (next & static_cast<unsigned char>(~kNextMask));
  }
  return character >= form.least && IsCharacter(character);
}

}  // namespace

size_t Utf8CharLength(std::string_view text) {
  if (text.empty()) {
    return 0;
  }
  size_t length = 1;
  for (const Utf8Form& form : kForms) {
    if (HasForm(text, form, length)) {
      return length;
    }
    ++length;
  }
  return 0;
}

bool IsPlainText(std::string_view text) {
  if (text.empty() || text.size() > kMaxTextBytes) {
    return false;
  }
  while (!text.empty()) {
    const auto first = static_cast<unsigned char>(text.front());
    const size_t length = Utf8CharLength(text);
    if (length == 0 || first < ' ' || first == kDelete) {
      return false;
    }
    text.remove_prefix(length);
  }
  return true;
}

bool IsValidName(std::string_view text) {
  return IsPlainText(text) && text.front() != ' ' && text.back() != ' ';
}

}  // namespace dandelion::base
