#include <catch2/catch.hpp>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "test/store-fixture.h"

namespace dandelion::test {
namespace {

using base::ErrorKind;
using base::Millis;
using nlohmann::json;
using store::Record;
using store::Topic;
using store::Update;

constexpr int kOk = 200;
constexpr char kNewest[] = "/v1/log-newest";
constexpr char kUpstreamsTopic[] = "keyed.servers";

struct PagesFixture : StoreFixture {
  absl::StatusOr<Update> ReadNewest() {
    return Await(client.ReadNewest(Topic::kUpstreams));
  }
  absl::StatusOr<Update> ReadFrom(int64_t from) {
    return Await(client.ReadFrom(Topic::kUpstreams, from, Millis(10)));
  }
  size_t pages() const { return store.CountRequests(kNewest); }
  /// Answers every read of newest records with `body`.
  void AnswerWith(std::string body) {
    store.SetNewestHook([body](const http::Request&) {
      return std::optional(http::JsonResponse(kOk, body));
    });
  }
};

std::set<std::string> KeysOf(const Update& update) {
  std::set<std::string> keys;
  for (const Record& record : update.records) {
    keys.insert(record.key);
  }
  return keys;
}

// Keys of 0 to 255 bytes, with every byte that there is.
std::set<std::string> KeysOfAllBytes() {
  constexpr int kBytes = 256;
  std::set<std::string> keys = {"", std::string(255, '%'), "a02%#", "a05&b="};
  for (int byte = 0; byte < kBytes; ++byte) {
    keys.insert(std::string("k") + static_cast<char>(byte) + "m");
    keys.insert(std::string(1, static_cast<char>(byte)));
  }
  return keys;
}

// A key was put into the query as it was, so that the next page began elsewhere
// or was refused.
TEST_CASE("keys of ASCII are read, whichever ends a page",
          "[pages][pages_after]") {
  PagesFixture fixture;
  PageOptions options;
  options.key_order = GENERATE(KeyOrder::kAscending, KeyOrder::kDescending);
  options.items = GENERATE(1, 2, 500);
  fixture.store.SetPageOptions(options);
  std::set<std::string> keys;
  for (const std::string& key : KeysOfAllBytes()) {
    const bool is_ascii = std::all_of(key.begin(), key.end(), [](char octet) {
      return static_cast<unsigned char>(octet) < 0x80;
    });
    if (is_ascii && !key.empty()) {
      keys.insert(key);
      fixture.store.AppendRecord(key, "value");
    }
  }
  const auto update = fixture.ReadNewest();
  REQUIRE(update.ok());
  CHECK(KeysOf(*update) == keys);
}

// An empty key at the end of a page was taken for the end of the topic.
TEST_CASE("an empty key ends a page and not the topic",
          "[pages][pages_progress]") {
  PagesFixture fixture;
  for (const char* key : {"", "a", "b"}) {
    fixture.store.AppendRecord(key, "value");
  }
  const auto update = fixture.ReadNewest();
  REQUIRE(update.ok());
  CHECK(KeysOf(*update) == std::set<std::string>{"", "a", "b"});
}

TEST_CASE("a page without items that says that more follows is no snapshot",
          "[pages][pages_progress]") {
  PagesFixture fixture;
  fixture.AnswerWith(R"({"items": [], "has-more": true, "end": 5})");
  CHECK(base::KindOf(fixture.ReadNewest().status()) ==
        ErrorKind::kPlatformUnreachable);
  CHECK(fixture.pages() == 1);
}

TEST_CASE("a negative end of a topic is refused", "[pages][pages_progress]") {
  PagesFixture fixture;
  fixture.AnswerWith(R"({"items": [], "has-more": false, "end": -5})");
  CHECK_FALSE(fixture.ReadNewest().ok());
}

// Pages in turn were read and kept without end.
TEST_CASE("a read of pages that come round again fails after one round",
          "[pages][pages_progress]") {
  constexpr size_t kRound = 3;
  constexpr size_t kEnough = 50;
  PagesFixture fixture;
  size_t page = 0;
  fixture.store.SetNewestHook([&page](const http::Request&) {
    const std::string key(1, static_cast<char>('a' + page % kRound));
    const bool has_more = ++page < kEnough;
    return std::optional(http::JsonResponse(
        kOk,
        json({{"items", {{{"key", key}, {"value", "eA=="}, {"offset", 0}}}},
              {"has-more", has_more},
              {"end", 3}})
            .dump()));
  });
  const auto update = fixture.ReadNewest();
  CHECK_FALSE(update.ok());
  CHECK(std::string(update.status().message()).find("no new key") !=
        std::string::npos);
  CHECK(page == kRound + 1);
}

// An older record could follow the newer one of the same key.
TEST_CASE("of a key in several pages the newest record is kept",
          "[pages][pages_progress]") {
  PagesFixture fixture;
  int page = 0;
  fixture.store.SetNewestHook([&page](const http::Request&) {
    const std::vector<std::string> kPages = {
        R"({"items": [{"key": "a", "value": "bmV3", "offset": 7}],
            "has-more": true, "end": 8})",
        R"({"items": [{"key": "b", "value": "Yg==", "offset": 2},
                      {"key": "a", "value": "b2xk", "offset": 3}],
            "has-more": false, "end": 9})"};
    return std::optional(http::JsonResponse(kOk, kPages.at(page++)));
  });
  const auto update = fixture.ReadNewest();
  REQUIRE(update.ok());
  // As of the first page: what came later is read from the log.
  CHECK(update->to == fixture.store.TopicOffset(8));
  REQUIRE(update->records.size() == 2);
  CHECK(update->records[0].value == "new");
}

TEST_CASE("records that change between pages are read once",
          "[pages][pages_progress]") {
  PagesFixture fixture;
  for (const char* key : {"b", "d", "f"}) {
    fixture.store.AppendRecord(key, "old");
  }
  int page = 0;
  fixture.store.SetNewestHook(
      [&](const http::Request&) -> std::optional<http::Response> {
        if (++page == 2) {
          fixture.store.AppendRecord("b", "");
          fixture.store.AppendRecord("a", "new");
          fixture.store.AppendRecord("e", "new");
        }
        return std::nullopt;
      });
  const auto update = fixture.ReadNewest();
  REQUIRE(update.ok());
  CHECK(KeysOf(*update) == std::set<std::string>{"b", "d", "e", "f"});
  // The log has what the pages lack.
  CHECK(update->to == fixture.store.TopicOffset(3));
  const auto later = fixture.ReadFrom(update->to);
  REQUIRE(later.ok());
  CHECK(later->records.size() == 3);
}

// A page with a key that is not UTF-8 was refused as a whole.
TEST_CASE("keys of any bytes are read, whichever ends a page",
          "[pages][pages_items]") {
  PagesFixture fixture;
  PageOptions options;
  options.key_order = GENERATE(KeyOrder::kAscending, KeyOrder::kDescending);
  options.items = GENERATE(1, 2, 500);
  fixture.store.SetPageOptions(options);
  const std::set<std::string> keys = KeysOfAllBytes();
  for (const std::string& key : keys) {
    fixture.store.AppendRecord(key, "value");
  }
  const auto update = fixture.ReadNewest();
  REQUIRE(update.ok());
  CHECK(KeysOf(*update) == keys);
}

// A key whose bytes were replaced names another place in the topic, after which
// keys would be missing.
TEST_CASE("a read does not go on after a key whose bytes were replaced",
          "[pages][pages_items]") {
  PagesFixture fixture;
  PageOptions options;
  options.items = GENERATE(2, 3, 4);
  options.key_bytes = KeyBytes::kReplaced;
  options.key_order = GENERATE(KeyOrder::kAscending, KeyOrder::kDescending);
  fixture.store.SetPageOptions(options);
  const std::set<std::string> exact = {"a", "b\xc3\xa9", "c", "d", "e"};
  for (const std::string& key : exact) {
    fixture.store.AppendRecord(key, "value");
  }
  fixture.store.AppendRecord("b\x80", "value");
  fixture.store.AppendRecord("c\xff", "value");
  const auto update = fixture.ReadNewest();
  REQUIRE(update.ok());
  std::set<std::string> keys = KeysOf(*update);
  CHECK(keys.erase("b\xef\xbf\xbd") == 1);
  CHECK(keys.erase("c\xef\xbf\xbd") == 1);
  CHECK(keys == exact);
}

// The read failed each time, and the topic with it.
TEST_CASE("a page of nothing but replaced keys ends the read without removals",
          "[pages][pages_items]") {
  PagesFixture fixture;
  PageOptions options;
  options.items = GENERATE(1, 3);
  options.key_bytes = KeyBytes::kReplaced;
  fixture.store.SetPageOptions(options);
  store::TopicReplica replica;
  fixture.store.AppendRecord("config", "old");
  fixture.store.AppendRecord("\xff\xff", "known");
  const auto known = fixture.ReadFrom(fixture.store.TopicOffset(0));
  REQUIRE(known.ok());
  Update empty;
  empty.snapshot = true;
  replica.Apply(empty, Millis(0));
  replica.Apply(*known, Millis(0));
  fixture.store.AppendRecord("config", "new");
  for (int i = 0; i < 7; ++i) {
    fixture.store.AppendRecord("\xff" + std::to_string(i), "value");
  }
  const auto update = fixture.ReadNewest();
  REQUIRE(update.ok());
  CHECK(update->incomplete);
  replica.Apply(*update, Millis(1));
  CHECK(replica.position() == update->to);
  const Update snapshot = replica.MakeSnapshot();
  CHECK(KeysOf(snapshot).contains("\xff\xff"));
  CHECK(std::any_of(snapshot.records.begin(), snapshot.records.end(),
                    [](const Record& record) {
                      return record.key == "config" && record.value == "new";
                    }));
}

// Such a character, as a pair of escapes, was taken for the mask of a byte.
TEST_CASE("escaped characters at the end of the last plane are read as such",
          "[pages][pages_items]") {
  PagesFixture fixture;
  fixture.AnswerWith(R"({"items": [
      {"key": "\udbff\udf80", "value": "eA==", "offset": 0},
      {"key": "\udbff\udfff", "value": "eA==", "offset": 1}],
      "has-more": false, "end": 2})");
  const auto update = fixture.ReadNewest();
  REQUIRE(update.ok());
  CHECK(KeysOf(*update) ==
        std::set<std::string>{"\xf4\x8f\xbe\x80", "\xf4\x8f\xbf\xbf"});
}

TEST_CASE("escapes of half a character are read as the byte they stand for",
          "[pages][pages_items]") {
  PagesFixture fixture;
  fixture.AnswerWith(R"({"items": [
      {"key": "a\udc80b", "value": "eA==", "offset": 0},
      {"key": "\ud83d\ude00", "value": "eA==", "offset": 1},
      {"key": "\ud83d", "value": "eA==", "offset": 2},
      {"key": "\\udc80", "value": "eA==", "offset": 3}],
      "has-more": false, "end": 4})");
  const auto update = fixture.ReadNewest();
  REQUIRE(update.ok());
  CHECK(KeysOf(*update) == std::set<std::string>{"a\x80"
                                                 "b",
                                                 "\xf0\x9f\x98\x80",
                                                 "\xef\xbf\xbd", "\\udc80"});
}

std::set<std::string> PresentKeys(const store::TopicReplica& replica) {
  return KeysOf(replica.MakeSnapshot());
}

// One such item made every read of the topic fail.
TEST_CASE("an item that can't be read changes nothing, and the others hold",
          "[pages][pages_items]") {
  PagesFixture fixture;
  store::TopicReplica replica;
  for (const char* key : {"a", "b", "c", "d", "e", "f", "g"}) {
    fixture.store.AppendRecord(key, "old");
  }
  fixture.store.AppendRecord("gone", "old");
  const auto before = fixture.ReadNewest();
  REQUIRE(before.ok());
  replica.Apply(*before, Millis(0));
  fixture.AnswerWith(R"({"items": [
      {"key": "a", "value": "bmV3", "offset": 8},
      {"value": "bmV3", "offset": 8},
      {"key": 7, "value": "bmV3", "offset": 8},
      {"key": "b", "value": "bmV3"},
      {"key": "c", "value": "bmV3", "offset": "8"},
      {"key": "d", "value": "bmV3", "offset": 20},
      {"key": "e", "value": "bmV3", "offset": -1},
      {"key": "f", "value": ["bmV3"], "offset": 8},
      {"key": "g", "value": "***", "offset": 8},
      {"key": "h", "value": "***", "offset": 8},
      17, null, [], {},
      {"key": "z", "value": "bmV3", "offset": 9}],
      "has-more": false, "end": 20})");
  const auto update = fixture.ReadNewest();
  REQUIRE(update.ok());
  CHECK(KeysOf(*update) == std::set<std::string>{"a", "z"});
  replica.Apply(*update, Millis(1));
  CHECK(PresentKeys(replica) ==
        std::set<std::string>{"a", "b", "c", "d", "e", "f", "g", "z"});
}

TEST_CASE("an item with an empty value removes its key",
          "[pages][pages_items]") {
  PagesFixture fixture;
  fixture.AnswerWith(R"({"items": [
      {"key": "a", "value": "", "offset": 8}], "has-more": false, "end": 9})");
  const auto update = fixture.ReadNewest();
  REQUIRE(update.ok());
  REQUIRE(update->records.size() == 1);
  CHECK(update->records[0].removed);
}

// A record whose key is longer than the record removed the key that its bytes
// happen to be.
TEST_CASE("a record of the log that holds no key changes nothing",
          "[pages][pages_log]") {
  PagesFixture fixture;
  fixture.store.AppendRaw(
      "\x05"
      "ab",
      kUpstreamsTopic);
  fixture.store.AppendRaw("", kUpstreamsTopic);
  fixture.store.AppendRecord("c", "value");
  const auto update = fixture.ReadFrom(fixture.store.TopicOffset(0));
  REQUIRE(update.ok());
  CHECK(update->to == fixture.store.TopicOffset(3));
  REQUIRE(update->records.size() == 1);
  CHECK(update->records[0].key == "c");
  CHECK(update->records[0].offset == fixture.store.TopicOffset(2));
}

// The digest changed with each record of the empty key, so that daemons with
// the same keys took each other to lack some.
TEST_CASE("the digest of keys counts the empty key once",
          "[pages][pages_digest]") {
  const auto digest_after = [](int64_t records) {
    store::TopicReplica replica;
    Update update;
    update.snapshot = true;
    replica.Apply(update, Millis(0));
    for (int64_t offset = 0; offset < records; ++offset) {
      update.snapshot = false;
      update.from = offset;
      update.to = offset + 1;
      update.records = {Record{"", "value", false, offset}};
      replica.Apply(update, Millis(0));
    }
    return replica.key_digest();
  };
  CHECK(digest_after(1) == digest_after(2));
}

}  // namespace
}  // namespace dandelion::test
