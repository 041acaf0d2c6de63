#include "http/message.h"

#include <catch2/catch.hpp>

#include <string>

namespace dandelion::test {
namespace {

using http::PercentEncode;

TEST_CASE("text of any bytes is one value of a query", "[percent_encode]") {
  CHECK(PercentEncode("").empty());
  CHECK(PercentEncode("Az09-._~") == "Az09-._~");
  CHECK(PercentEncode("a02%#") == "a02%25%23");
  CHECK(PercentEncode("a05&b=") == "a05%26b%3D");
  CHECK(PercentEncode("+ \"\\/?\r\n") == "%2B%20%22%5C%2F%3F%0D%0A");
  CHECK(PercentEncode(std::string("\0\x7f\x80\xff", 4)) == "%00%7F%80%FF");
}

}  // namespace
}  // namespace dandelion::test
