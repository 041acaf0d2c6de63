#include "base/text.h"

#include <catch2/catch.hpp>

#include <string>

#include "base/json_values.h"

namespace dandelion::test {
namespace {

TEST_CASE("bytes that are no character count as one", "[text]") {
  using base::Utf8CharLength;
  CHECK(Utf8CharLength("a\xff") == 1);
  CHECK(Utf8CharLength("\xc5\x82") == 2);
  CHECK(Utf8CharLength("\xe2\x82\xac") == 3);
  CHECK(Utf8CharLength("\xf0\x9f\x8c\xbc") == 4);
  // Cut, a byte in the middle, longer than needed, surrogates, too large.
  for (const char* text :
       {"", "\xc5", "\x82", "\xc5g", "\xc0\x80", "\xc1\xbf", "\xe0\x80\x80",
        "\xed\xa0\x80", "\xf0\x8f\xbf\xbf", "\xf4\x90\x80\x80",
        "\xf8\x88\x80\x80\x80", "\xff"}) {
    CAPTURE(text);
    CHECK(Utf8CharLength(text) == 0);
  }
}

TEST_CASE("a name has bytes that no header or message holds", "[text]") {
  using base::IsValidName;
  CHECK(IsValidName("a02%#"));
  CHECK(IsValidName("a b"));
  CHECK(IsValidName(std::string(255, 'x')));
  CHECK_FALSE(IsValidName(std::string(256, 'x')));
  CHECK_FALSE(IsValidName(std::string("a\0b", 3)));
  CHECK(base::IsPlainText("a "));
  for (const char* text :
       {"", " ", "a ", " a", "a\nb", "a\tb", "a\x7f", "\xff"}) {
    CAPTURE(text);
    CHECK_FALSE(IsValidName(text));
  }
}

TEST_CASE("brackets in strings count as levels of JSON", "[text]") {
  const std::string most(base::kMaxJsonDepth, '[');
  const std::string end(base::kMaxJsonDepth, ']');
  CHECK_FALSE(base::ParseJson(most + end).is_discarded());
  CHECK(base::ParseJson("[" + most + end + "]").is_discarded());
  CHECK(base::ParseJson("]" + most).is_discarded());
  CHECK(base::ParseJson("[\"" + most + "\\\"" + most + "\"]").is_array());
  CHECK(base::ParseJson("[\"\\\\\", " + most.substr(1) + end.substr(1) + "]")
            .is_array());
}

}  // namespace
}  // namespace dandelion::test
