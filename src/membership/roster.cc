#include "membership/roster.h"

#include <xxhash.h>
#include <algorithm>
#include <tuple>
#include <utility>

namespace dandelion::membership {

using base::DataCentreId;
using base::HostId;
using base::Millis;

namespace {

// Ranks of more keys than this are not kept. Upstreams come and go under new
// names, and each that has had a limit leaves a key.
constexpr size_t kMaxKeptRanks = 4096;

// The order in which daemons become delegates.
struct Preference {
  int64_t capacity;
  DaemonHash hash;
  HostId id;

  bool operator<(const Preference& other) const {
    return std::tie(other.capacity, other.hash, id) <
           std::tie(capacity, hash, other.id);
  }
};

// Returns the first of the daemons, at most as many as there are delegates.
std::vector<HostId> FirstOf(std::vector<Preference> daemons) {
  const size_t count = std::min(Roster::kDelegates, daemons.size());
  std::partial_sort(daemons.begin(),
                    daemons.begin() + static_cast<ptrdiff_t>(count),
                    daemons.end());
  std::vector<HostId> first;
  for (size_t i = 0; i < count; ++i) {
    first.push_back(std::move(daemons[i].id));
  }
  return first;
}

// Rendezvous hashing weight of a daemon for the key with this hash.
uint64_t WeightOf(uint64_t key_hash, DaemonHash daemon) {
  return XXH3_64bits_withSeed(&daemon, sizeof(daemon), key_hash);
}

}  // namespace

DaemonHash HashDaemon(const HostId& id) {
  return XXH3_64bits(id.value().data(), id.value().size());
}

Roster::Roster(DaemonInfo self, base::Clock clock)
    : self_(std::move(self)),
      self_hash_(HashDaemon(self_.id)),
      clock_(std::move(clock)),
      alive_{self_hash_} {}

bool Roster::Add(const DaemonInfo& daemon) {
  if (daemon.id.empty() || daemon.id == self_.id ||
      daemon.address == self_.address) {
    return false;
  }
  const auto [known, is_new] = entries_.try_emplace(daemon.id);
  Entry& entry = known->second;
  if (!is_new && entry.info == daemon) {
    return false;
  }
  if (is_new || entry.info.address != daemon.address) {
    entry = Entry();
    entry.hash = HashDaemon(daemon.id);
    entry.seen_at = clock_.Now();
    entry.added_at = clock_.Now();
  }
  entry.info = daemon;
  return true;
}

const DaemonInfo* Roster::Find(const HostId& id) const {
  const auto known = entries_.find(id);
  return known == entries_.end() ? nullptr : &known->second.info;
}

void Roster::RecordContact(const HostId& id, bool draining) {
  const auto known = entries_.find(id);
  if (known == entries_.end()) {
    return;
  }
  Entry& entry = known->second;
  entry.contact_at = clock_.Now();
  entry.seen_at = clock_.Now();
  entry.silent_at.reset();
  entry.draining = draining;
}

void Roster::RecordSilence(const HostId& id) {
  const auto known = entries_.find(id);
  if (known != entries_.end()) {
    known->second.silent_at = clock_.Now();
    known->second.contact_at.reset();
  }
}

void Roster::RecordVouched(const HostId& id) {
  const auto known = entries_.find(id);
  if (known == entries_.end()) {
    return;
  }
  std::optional<Millis>& silent_at = known->second.silent_at;
  if (silent_at && clock_.Now() - *silent_at > kRetryAfter) {
    silent_at.reset();
  }
}

void Roster::ExtendContacts(Millis pause) {
  for (auto& [id, entry] : entries_) {
    if (entry.contact_at) {
      entry.contact_at = std::min(clock_.Now(), *entry.contact_at + pause);
    }
  }
}

void Roster::ExpireContacts() {
  for (auto& [id, entry] : entries_) {
    if (entry.contact_at && !IsInContact(entry)) {
      entry.silent_at = *entry.contact_at + kContactTimeout;
      entry.contact_at.reset();
    }
  }
}

bool Roster::IsInContact(const HostId& id) const {
  const auto known = entries_.find(id);
  return known != entries_.end() && IsInContact(known->second);
}

bool Roster::IsInContact(const Entry& entry) const {
  return entry.contact_at &&
         clock_.Now() - *entry.contact_at <= kContactTimeout;
}

void Roster::SetView(const DataCentreId& data_centre,
                     const HostId& origin,
                     std::set<DaemonHash> alive,
                     Millis age) {
  views_[data_centre][origin] = {std::move(alive), clock_.Now() - age};
}

void Roster::Update() {
  const Millis now = clock_.Now();
  ExpireContacts();
  for (auto& [data_centre, views] : views_) {
    std::erase_if(views, [now](const auto& item) {
      return now - item.second.at > kCountLifetime;
    });
  }
  std::erase_if(views_, [](const auto& item) { return item.second.empty(); });
  std::set<DaemonHash> alive = {self_hash_};
  for (const auto& [data_centre, views] : views_) {
    for (const auto& [origin, view] : views) {
      alive.insert(view.alive.begin(), view.alive.end());
    }
  }
  for (auto& [id, entry] : entries_) {
    if (IsInContact(entry) || IsPresumedUp(entry)) {
      alive.insert(entry.hash);
    }
    if (alive.contains(entry.hash)) {
      entry.seen_at = now;
    }
  }
  std::erase_if(entries_, [now](const auto& item) {
    return now - item.second.seen_at > kForgetAfter;
  });
  if (alive != alive_) {
    alive_ = std::move(alive);
    ranks_.clear();
  }
}

bool Roster::IsPresumedUp(const Entry& entry) const {
  return !entry.contact_at && !entry.silent_at &&
         clock_.Now() - entry.added_at < kPresumedUpFor;
}

bool Roster::MayBeDelegate(const Entry& entry,
                           const std::optional<View>& view) const {
  if (entry.draining) {
    return false;
  }
  if (IsInContact(entry)) {
    return true;
  }
  return !entry.silent_at && (!view || view->age > kViewLifetime ||
                              view->alive.contains(entry.hash));
}

std::vector<HostId> Roster::DelegatesOf(const DataCentreId& data_centre) const {
  const std::optional<View> view = ViewOf(data_centre);
  std::vector<Preference> candidates;
  if (self_.data_centre == data_centre && !draining_) {
    candidates.push_back({self_.capacity, self_hash_, self_.id});
  }
  for (const auto& [id, entry] : entries_) {
    if (entry.info.data_centre == data_centre && MayBeDelegate(entry, view)) {
      candidates.push_back({entry.info.capacity, entry.hash, id});
    }
  }
  return FirstOf(std::move(candidates));
}

std::vector<HostId> Roster::SilentOf(const DataCentreId& data_centre) const {
  std::vector<Preference> silent;
  for (const auto& [id, entry] : entries_) {
    if (entry.info.data_centre == data_centre && entry.silent_at) {
      silent.push_back({entry.info.capacity, entry.hash, id});
    }
  }
  return FirstOf(std::move(silent));
}

std::set<HostId> Roster::Contacts() const {
  std::set<HostId> contacts;
  for (const auto& [id, entry] : entries_) {
    if (IsInContact(entry)) {
      contacts.insert(id);
    }
  }
  return contacts;
}

std::set<DaemonHash> Roster::OwnView() const {
  std::set<DaemonHash> alive = {self_hash_};
  for (const auto& [id, entry] : entries_) {
    if (entry.info.data_centre == self_.data_centre && IsInContact(entry)) {
      alive.insert(entry.hash);
    }
  }
  return alive;
}

std::optional<Roster::View> Roster::ViewOf(
    const DataCentreId& data_centre) const {
  const auto views = views_.find(data_centre);
  if (views == views_.end() || views->second.empty()) {
    return std::nullopt;
  }
  View merged{{}, kCountLifetime};
  for (const auto& [origin, view] : views->second) {
    merged.alive.insert(view.alive.begin(), view.alive.end());
    merged.age = std::min(merged.age, clock_.Now() - view.at);
  }
  return merged;
}

std::vector<DataCentreId> Roster::DataCentres() const {
  std::set<DataCentreId> data_centres = {self_.data_centre};
  for (const auto& [id, entry] : entries_) {
    data_centres.insert(entry.info.data_centre);
  }
  return {data_centres.begin(), data_centres.end()};
}

std::vector<DaemonInfo> Roster::DaemonsOf(
    const DataCentreId& data_centre) const {
  std::vector<DaemonInfo> daemons;
  for (const auto& [id, entry] : entries_) {
    if (entry.info.data_centre == data_centre) {
      daemons.push_back(entry.info);
    }
  }
  return daemons;
}

size_t Roster::RankFor(std::string_view key) const {
  if (ranks_.size() >= kMaxKeptRanks) {
    ranks_.clear();
  }
  const auto [kept, is_new] = ranks_.try_emplace(std::string(key), 0);
  if (is_new) {
    const uint64_t key_hash = XXH3_64bits(key.data(), key.size());
    const uint64_t own_weight = WeightOf(key_hash, self_hash_);
    kept->second = static_cast<size_t>(
        std::count_if(alive_.begin(), alive_.end(), [&](DaemonHash daemon) {
          return WeightOf(key_hash, daemon) > own_weight;
        }));
  }
  return kept->second;
}

}  // namespace dandelion::membership
