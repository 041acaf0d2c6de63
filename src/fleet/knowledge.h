#pragma once

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "fleet/catalogue.h"
#include "fleet/upstream_list.h"
#include "store/topic.h"

namespace dandelion::fleet {

/// What a record of the operators' topic says. At most one field is set.
struct OperatorFact {
  CataloguePtr catalogue;
  /// The data centre that is taken out while the record stands.
  base::DataCentreId evacuated;
};

/// What this daemon knows from the store's topics: replicas of the records,
/// and what the records mean.
class Knowledge {
 public:
  struct Hooks {
    std::function<absl::StatusOr<OperatorFact>(const store::Record&)>
        read_operator;
    std::function<absl::StatusOr<UpstreamEntry>(const std::string& value)>
        read_upstream;
    std::function<void(const CataloguePtr&)> on_catalogue;
  };

  Knowledge(base::Clock clock, UpstreamList& upstreams, Hooks hooks);

  /// Takes what the store or a peer says. Returns the records that changed what
  /// is known; a record that only repeats its upstream's entry does not.
  std::vector<store::Record> Take(store::Topic topic,
                                  const store::Update& update,
                                  base::Millis proven_at);

  const store::TopicReplica& replica(store::Topic topic) const;
  base::Millis AgeOf(store::Topic topic) const;
  const CataloguePtr& catalogue() const { return catalogue_; }

 private:
  bool TakeOperator(const store::Record& record);
  bool TakeUpstream(const store::Record& record);

  base::Clock clock_;
  UpstreamList& upstreams_;
  Hooks hooks_;
  std::array<store::TopicReplica, store::kTopics> replicas_;
  std::map<std::string, UpstreamEntry> entries_;
  CataloguePtr catalogue_;
};

}  // namespace dandelion::fleet
