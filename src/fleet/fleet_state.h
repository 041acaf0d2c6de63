#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "fleet/catalogue.h"
#include "fleet/upstream_list.h"
#include "rollout/types.h"
#include "store/topic.h"

namespace dandelion::fleet {

/// An operator's order for a roll-out, or the end of one.
struct RolloutOrder {
  base::RolloutName name;
  /// Nothing if the order was removed.
  std::optional<rollout::Order> order;
};

/// A parsed record of the operator topic. At most one field is set.
struct OperatorRecord {
  CataloguePtr catalogue;
  /// The data centre that is evacuated until the record is removed.
  base::DataCentreId evacuated_data_centre;
  std::optional<RolloutOrder> rollout;
};

/// This daemon's view of the fleet: replicas of the store's topics, and the
/// catalogue and upstream entries parsed from their records.
class FleetState {
 public:
  /// How long a daemon remembers what an upstream wrote last: longer than a
  /// store is away, and than an entry of an older copy takes to expire.
  static constexpr base::Millis kWrittenRetention{60'000};

  struct Hooks {
    /// Parses a record of the operator topic.
    std::function<absl::StatusOr<OperatorRecord>(const store::Record&)>
        parse_operator_record;
    /// Parses the value of a record of the upstreams topic.
    std::function<absl::StatusOr<UpstreamEntry>(const std::string& value)>
        parse_upstream_entry;
    /// Called when a newer catalogue was installed.
    std::function<void(const CataloguePtr&)> on_catalogue;
    /// Called when a roll-out was ordered or its order was removed. May be
    /// empty.
    std::function<void(const RolloutOrder&)> on_rollout;
  };

  FleetState(base::Clock clock, UpstreamList& upstreams, Hooks hooks);

  /// Applies an update from the store or from a peer, which was complete at
  /// `verified_at`. Returns the records that peers need too: those that are new
  /// to the replica, except upstream records that leave the entry as it was.
  std::vector<store::Record> ApplyUpdate(store::Topic topic,
                                         const store::Update& update,
                                         base::Millis verified_at);

  const store::TopicReplica& replica(store::Topic topic) const;
  /// Age of the last verification of the topic's replica.
  base::Millis VerificationAgeOf(store::Topic topic) const;
  /// The catalogue with the highest version; null if there is none yet.
  const CataloguePtr& catalogue() const { return catalogue_; }

 private:
  /// These return whether peers need the record too.
  bool ApplyOperatorRecord(const store::Record& record);
  bool ApplyUpstreamRecord(const store::Record& record);
  absl::StatusOr<UpstreamEntry> ParseUpstreamRecord(
      const store::Record& record);
  /// Whether the upstream had already written this entry or a later one when
  /// the store came back from an older copy, which says it again. Remembers the
  /// entry if not.
  bool IsOutdated(const store::Record& record, const UpstreamEntry& entry);
  void ReportRefusedOrganisations(const store::Record& record) const;

  base::Clock clock_;
  UpstreamList& upstreams_;
  Hooks hooks_;
  std::array<store::TopicReplica, store::kTopicCount> replicas_;
  std::map<std::string, UpstreamEntry> entries_;
  /// The last that each upstream was known to have written.
  struct Written {
    int64_t started_at = 0;
    int64_t sequence = 0;
    /// Of the store when it was written.
    int64_t era = 0;
    base::Millis at;
  };
  std::map<std::string, Written> written_;
  CataloguePtr catalogue_;
};

}  // namespace dandelion::fleet
