#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "test/mesh-fixture.h"

namespace dandelion::test {
namespace {

using base::DataCentreId;
using base::HostId;
using base::Millis;
using store::Record;
using store::Topic;
using store::Update;
using Daemon = MeshFixture::Daemon;

constexpr int kDataCentres = 3;
constexpr int kDaemonsOfEach = 4;
constexpr Millis kStep{50};

/// A topic of the store that remembers what it held when. An empty value is
/// that of a key that is not there.
class RecordedTopic {
 public:
  void Write(const std::string& key, const std::string& value, Millis now) {
    log_.push_back({key, value, value.empty(), end()});
    history_[key].emplace_back(now, value);
  }
  void Truncate() { first_kept_ = end(); }
  /// What a daemon reads that has `replica`.
  Update Read(const store::TopicReplica& replica) const {
    Update update;
    update.to = end();
    update.snapshot = !replica.started() || replica.position() < first_kept_;
    update.from = update.snapshot ? end() : replica.position();
    if (update.snapshot) {
      update.records = Newest();
    } else {
      update.records.assign(log_.begin() + update.from, log_.end());
    }
    return update;
  }
  /// Whether `key` had this value at some time from `since` on.
  bool Had(const std::string& key,
           const std::string& value,
           Millis since) const {
    std::string current;
    for (const auto& [at, written] : history_.at(key)) {
      if (at > since && current == value) {
        return true;
      }
      current = written;
    }
    return current == value;
  }
  const std::map<std::string, std::vector<std::pair<Millis, std::string>>>&
  history() const {
    return history_;
  }

 private:
  int64_t end() const { return static_cast<int64_t>(log_.size()); }
  std::vector<Record> Newest() const {
    std::map<std::string, Record> newest;
    for (const Record& record : log_) {
      newest[record.key] = record;
    }
    std::vector<Record> records;
    for (const auto& [key, record] : newest) {
      if (!record.removed) {
        records.push_back(record);
      }
    }
    return records;
  }

  std::vector<Record> log_;
  int64_t first_kept_ = 0;
  std::map<std::string, std::vector<std::pair<Millis, std::string>>> history_;
};

/// Daemons of several data centres of which any may read the topic, while links
/// drop or hold messages in either direction, and daemons freeze and start
/// again.
struct DisturbedFleet : MeshFixture {
  explicit DisturbedFleet(unsigned seed) : random(seed) {
    is_cut = [this](const std::string& from, const std::string& to) {
      return cut.contains({from, to});
    };
    is_held = [this](const std::string& from, const std::string& to) {
      return held.contains({from, to});
    };
    for (int i = 0; i < kDataCentres * kDaemonsOfEach; ++i) {
      const std::string name =
          absl::StrCat("dc", i % kDataCentres, "-", i / kDataCentres);
      names.push_back(name);
      Start(name);
    }
    topic.Write("config", "0", Now());
    Advance(Millis(3000));
  }

  void Start(const std::string& name) {
    const auto info_of = [](const std::string& of) {
      return membership::DaemonInfo{HostId(of), "10.0.0.1:" + of,
                                    DataCentreId(of.substr(0, 3)), 0};
    };
    Daemon& daemon = AddDaemon(info_of(name));
    for (const std::string& other : names) {
      if (other != name) {
        daemon.mesh->AddDaemon(info_of(other));
      }
    }
  }

  Millis Now() { return clock().Now(); }
  int Random(int high) {
    return std::uniform_int_distribution<int>(0, high)(random);
  }
  std::string AnyName() {
    return names[static_cast<size_t>(
        Random(static_cast<int>(names.size()) - 1))];
  }
  static const store::TopicReplica& ReplicaOf(const Daemon& daemon) {
    return daemon.fleet_state->replica(Topic::kOperator);
  }

  /// What a daemon does that reads the topic.
  void Read(Daemon& daemon) {
    Update update = topic.Read(ReplicaOf(daemon));
    std::vector<Record> changes =
        daemon.fleet_state->ApplyUpdate(Topic::kOperator, update, Now());
    if (!daemon.reading) {
      for (const Record& record : changes) {
        daemon.mesh->MarkChange(Topic::kOperator, record.offset);
      }
    } else if (!changes.empty()) {
      update.records = std::move(changes);
      daemon.mesh->BroadcastUpdate(Topic::kOperator, std::move(update));
    }
  }

  void Disturb() {
    switch (Random(9)) {
      case 0:
        cut.emplace(AnyName(), AnyName());
        break;
      case 1:
        held.emplace(AnyName(), AnyName());
        break;
      case 2:
        if (!cut.empty()) {
          cut.erase(cut.begin());
        }
        break;
      case 3:
        if (!held.empty()) {
          held.erase(held.begin());
        }
        break;
      case 4: {
        const std::string isolated = AnyName();
        for (const std::string& other : names) {
          (Random(1) == 0 ? cut : held).emplace(other, isolated);
        }
        break;
      }
      case 5:
        cut.clear();
        held.clear();
        break;
      case 6:
        Find(AnyName()).frozen = Random(1) == 0;
        break;
      case 7:
        Start(AnyName());
        break;
      case 8:
        Find(AnyName()).reading = Random(2) == 0;
        break;
      default:
        if (Random(3) == 0) {
          topic.Truncate();
        }
    }
  }
  Daemon& Find(const std::string& name) {
    const std::vector<Daemon*> all = All();
    return **std::find_if(all.begin(), all.end(), [&](const Daemon* daemon) {
      return daemon->info.id.value() == name;
    });
  }
  void Write() {
    const std::string key =
        Random(1) == 0 ? "config" : absl::StrCat("key-", Random(3));
    const bool is_removal = removes && key != "config" && Random(1) == 0;
    topic.Write(key, is_removal ? "" : absl::StrCat(++writes), Now());
  }

  /// Returns what is wrong with the daemons' replicas.
  std::string FindFault() {
    for (Daemon* daemon : All()) {
      const store::TopicReplica& replica = ReplicaOf(*daemon);
      if (!replica.started()) {
        continue;
      }
      std::map<std::string, std::string> values;
      for (const Record& record : replica.UpdateFrom(0).records) {
        values[record.key] = record.value;
      }
      for (const auto& [key, history] : topic.history()) {
        const std::string& value = values[key];
        if (!topic.Had(key, value, replica.verified_at())) {
          return absl::StrCat(
              daemon->info.id.value(), " at ", Now().count(),
              " is verified as of ", replica.verified_at().count(), " up to ",
              replica.position(), " with ", key, "=", value, " (newest ",
              history.back().second, " of ", history.back().first.count(), ")");
        }
      }
    }
    return "";
  }

  /// Returns the first fault.
  std::string Run(Millis time) {
    const Millis end = Now() + time;
    while (Now() < end) {
      if (Random(9) == 0) {
        Write();
      }
      if (Random(4) == 0) {
        Disturb();
      }
      for (Daemon* daemon : All()) {
        const bool behind = daemon->mesh->IsBehind(Topic::kOperator);
        if (!daemon->frozen &&
            (daemon->reading ? Random(4) == 0 : behind && Random(9) == 0)) {
          Read(*daemon);
        }
      }
      Advance(kStep);
      std::string fault = FindFault();
      if (!fault.empty()) {
        return fault;
      }
    }
    return "";
  }

  std::mt19937 random;
  std::vector<std::string> names;
  RecordedTopic topic;
  std::set<std::pair<std::string, std::string>> cut;
  std::set<std::pair<std::string, std::string>> held;
  int writes = 0;
  /// Whether keys are removed, too.
  bool removes = true;
};

TEST_CASE("a daemon takes records for verified that it lacks",
          "[verification]") {
  const auto seed = GENERATE(range(1U, 21U));
  CAPTURE(seed);
  DisturbedFleet fleet(seed);
  fleet.removes = false;
  const std::string fault = fleet.Run(Millis(30'000));
  CHECK(fault == "");
}

TEST_CASE("a daemon takes keys for verified that were removed",
          "[verification]") {
  const auto seed = GENERATE(range(1U, 21U));
  CAPTURE(seed);
  DisturbedFleet fleet(seed);
  const std::string fault_of_removals = fleet.Run(Millis(30'000));
  CHECK(fault_of_removals == "");
}

}  // namespace
}  // namespace dandelion::test
