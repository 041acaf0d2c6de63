#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "base/error.h"
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
    hooks.should_read = [](Topic) { return true; };
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

TEST_CASE("an older copy's entry does not bring a leaving upstream back",
          "[era]") {
  EraFixture fixture(Topic::kUpstreams);
  fixture.store.Write("u-1", "ready");
  const std::vector<Record> copy = fixture.store.newest;
  fixture.store.Write("u-1", "draining");
  fixture.Start();
  REQUIRE(fixture.values["u-1"] == "draining");
  fixture.store.ReturnWith(1, copy);
  fixture.ReadOn();
  CHECK(fixture.values["u-1"] == "draining");
  fixture.store.Write("u-1", "draining, again");
  fixture.ReadOn();
  CHECK(fixture.values["u-1"] == "draining, again");
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
