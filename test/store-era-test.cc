#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "base/error.h"
#include "fleet/fleet_state.h"
#include "platform/records.h"
#include "store/follower.h"

namespace dandelion::test {
namespace {

using base::Millis;
using base::Task;
using store::MakeTopicOffset;
using store::Record;
using store::Topic;
using store::Update;

/// A store that can come back from an older copy.
class ReturningStore : public store::MetadataStore {
 public:
  static constexpr Millis kAnswerTime{1};

  int64_t era = 1;
  int64_t end = 0;
  std::vector<Record> newest;
  int reads = 0;

  Task<absl::StatusOr<Update>> ReadNewest(Topic) override {
    co_await base::SleepFor(kAnswerTime);
    ++reads;
    Update update;
    update.snapshot = true;
    update.from = update.to = MakeTopicOffset(era, end);
    update.records = newest;
    co_return update;
  }
  Task<absl::StatusOr<Update>> ReadFrom(Topic, int64_t from, Millis) override {
    co_await base::SleepFor(kAnswerTime);
    ++reads;
    if (store::EraOf(from) != era) {
      co_return base::MakeError(base::ErrorKind::kConflict, "another era",
                                "read all");
    }
    Update update;
    update.from = from;
    update.to = MakeTopicOffset(era, end);
    for (const Record& record : newest) {
      if (record.offset >= from) {
        update.records.push_back(record);
      }
    }
    co_return update;
  }
  void Write(const std::string& key, const std::string& value) {
    std::erase_if(newest,
                  [&](const Record& record) { return record.key == key; });
    newest.push_back({key, value, false, MakeTopicOffset(era, end++)});
  }
  /// Comes back without the newest `lost` records. `kept` is what it has.
  void ReturnWith(int64_t lost, const std::vector<Record>& kept) {
    ++era;
    end -= lost;
    newest = kept;
    for (Record& record : newest) {
      record.offset = MakeTopicOffset(era, store::OffsetInEra(record.offset));
    }
  }
};

struct EraFixture {
  explicit EraFixture(Topic topic) : topic(topic) {
    store::Follower::Hooks hooks;
    hooks.should_read = [this](Topic) { return reads; };
    hooks.is_delegate = [] { return true; };
    hooks.replica = [this](Topic) -> const store::TopicReplica& {
      return replica;
    };
    hooks.on_update = [this](Topic, const Update& update, Millis verified_at) {
      for (const Record& record : replica.Apply(update, verified_at)) {
        values[record.key] = record.removed ? "" : record.value;
      }
    };
    follower.emplace(base::Clock([this] { return now; }), store, hooks);
  }
  void Start() {
    base::Spawn(context.get_executor(), follower->FollowTopic(topic));
    ReadOn();
  }
  /// Lets the follower read what the store has now.
  void ReadOn() {
    const int until = store.reads + 3;
    while (store.reads < until) {
      context.run_one();
    }
  }

  Topic topic;
  bool reads = true;
  boost::asio::io_context context;
  Millis now{5000};
  ReturningStore store;
  store::TopicReplica replica;
  std::map<std::string, std::string> values;
  std::optional<store::Follower> follower;
};

TEST_CASE("a change after a store came back older counts, whatever its offset",
          "[era]") {
  EraFixture fixture(Topic::kOperator);
  fixture.store.Write("config", "1");
  const std::vector<Record> copy = fixture.store.newest;
  fixture.store.Write("config", "2");
  fixture.store.Write("config", "3");
  fixture.Start();
  REQUIRE(fixture.values["config"] == "3");
  fixture.store.ReturnWith(2, copy);
  fixture.store.Write("config", "4");
  fixture.now = fixture.now + Millis(500);
  fixture.ReadOn();
  CHECK(fixture.values["config"] == "4");
  CHECK(fixture.replica.VerificationAge(fixture.now) == Millis(0));
}

TEST_CASE("what a store lost is not removed before it can be written again",
          "[era]") {
  EraFixture fixture(Topic::kOperator);
  fixture.store.Write("config", "1");
  const std::vector<Record> copy = fixture.store.newest;
  fixture.store.Write("evacuate/dc-a", "{}");
  fixture.store.Write("evacuate/dc-b", "{}");
  fixture.Start();
  fixture.store.ReturnWith(2, copy);
  fixture.ReadOn();
  CHECK(fixture.values["evacuate/dc-a"] == "{}");
  CHECK(fixture.values["evacuate/dc-b"] == "{}");
  fixture.store.Write("evacuate/dc-a", "{}");
  fixture.now = fixture.now + store::Follower::kRewriteTime - Millis(1);
  fixture.ReadOn();
  CHECK(fixture.values["evacuate/dc-b"] == "{}");
  // What was not written again is gone.
  fixture.now = fixture.now + Millis(1);
  fixture.ReadOn();
  CHECK(fixture.values["evacuate/dc-a"] == "{}");
  CHECK(fixture.values["evacuate/dc-b"].empty());
}

TEST_CASE("a second era is as harmless at a daemon that did not read the first",
          "[era]") {
  EraFixture fixture(Topic::kOperator);
  fixture.store.Write("config", "1");
  const std::vector<Record> copy = fixture.store.newest;
  fixture.Start();
  // A peer tells of the era and of an evacuation.
  fixture.reads = false;
  fixture.store.ReturnWith(0, copy);
  fixture.store.Write("evacuate/dc-a", "{}");
  Update news;
  news.snapshot = true;
  news.from = news.to = MakeTopicOffset(2, fixture.store.end);
  news.records = fixture.store.newest;
  for (const Record& record : fixture.replica.Apply(news, fixture.now)) {
    fixture.values[record.key] = record.value;
  }
  for (int i = 0; i < 8; ++i) {
    fixture.context.run_one();
  }
  fixture.now = fixture.now + Millis(60'000);
  fixture.store.ReturnWith(1, copy);
  fixture.reads = true;
  fixture.ReadOn();
  CHECK(fixture.values["evacuate/dc-a"] == "{}");
}

TEST_CASE("answers from before a store came back verify nothing", "[era]") {
  EraFixture fixture(Topic::kOperator);
  fixture.store.Write("config", "1");
  fixture.store.era = 3;
  fixture.Start();
  const Millis verified_at = fixture.now;
  fixture.now = fixture.now + Millis(500);
  fixture.store.era = 2;
  fixture.ReadOn();
  CHECK(fixture.replica.VerificationAge(fixture.now) ==
        fixture.now - verified_at);
}

/// The upstreams that a daemon lists while its store comes back older.
struct ListFixture {
  static constexpr char kReady[] = "ready";
  static constexpr char kDraining[] = "draining";

  ListFixture() {
    fleet::FleetState::Hooks hooks;
    hooks.parse_upstream_entry = [](const std::string& value) {
      // "STATE SEQUENCE"
      fleet::UpstreamEntry entry;
      entry.leaving = value.starts_with(kDraining);
      entry.started_at = 1;
      entry.sequence = std::stoll(value.substr(value.find(' ')));
      return absl::StatusOr<fleet::UpstreamEntry>(entry);
    };
    state.emplace(base::Clock([this] { return now; }), upstreams, hooks);
  }
  void Apply(const std::string& value, int64_t era, int64_t offset) {
    Update update;
    update.snapshot = true;
    update.incomplete = true;
    update.from = update.to = MakeTopicOffset(era, offset + 1);
    update.records.push_back(
        {"u-1", value, value.empty(), MakeTopicOffset(era, offset)});
    state->ApplyUpdate(Topic::kUpstreams, update, now);
  }
  bool IsUsable() const {
    const fleet::Upstream* upstream = upstreams.Find(base::UpstreamId("u-1"));
    return upstream && upstreams.IsUsable(*upstream);
  }

  Millis now{5000};
  fleet::UpstreamList upstreams{fleet::UpstreamList::Hooks{
      [](const fleet::Upstream&) {},
      [](const fleet::Upstream&, std::string_view) {},
      [](const base::UpstreamId&) {}}};
  std::optional<fleet::FleetState> state;
};

TEST_CASE("an older copy's entry does not bring a leaving upstream back",
          "[era]") {
  const std::string last = GENERATE("draining 9", "");
  CAPTURE(last);
  ListFixture fixture;
  fixture.Apply("ready 7", 1, 10);
  fixture.Apply("ready 8", 1, 11);
  fixture.Apply(last, 1, 12);
  REQUIRE_FALSE(fixture.IsUsable());
  fixture.Apply("ready 8", 2, 10);
  CHECK_FALSE(fixture.IsUsable());
  // It has written since, so it is alive.
  fixture.Apply("ready 10", 2, 11);
  CHECK(fixture.IsUsable());
}

TEST_CASE("an order for a roll-out is the same after the store came back",
          "[era]") {
  Record record{"rollout/r", R"({"backend":"p","to":"v2","over-s":60})", false,
                MakeTopicOffset(1, 5)};
  const auto before = platform::ParseRolloutOrder(record);
  record.offset = MakeTopicOffset(2, 5);
  const auto after = platform::ParseRolloutOrder(record);
  REQUIRE(before.ok());
  REQUIRE(after.ok());
  CHECK(*before == *after);
}

}  // namespace
}  // namespace dandelion::test
