#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace dandelion::membership {

/// A daemon of the fleet and how to reach it.
struct DaemonInfo {
  base::HostId id;
  /// "IP:PORT" of its peer socket.
  std::string address;
  base::DataCentreId data_centre;
  /// Processor of its host, in thousandths of a core; 0 if unknown. Hosts with
  /// more of it are delegates first.
  int64_t capacity = 0;

  bool operator==(const DaemonInfo&) const = default;
};

/// Identifies a daemon in views of data centres.
using DaemonHash = uint64_t;
DaemonHash HashDaemon(const base::HostId& id);

/// The daemons of the fleet that are known, and which of them are up.
///
/// A daemon hears only its delegates, and delegates hear their own data centre
/// and the delegates of the others. Which of the other daemons are up, they
/// tell each other in views: the daemons of one data centre that are up, as one
/// delegate sees them.
class Roster {
 public:
  /// Delegates of a data centre. The second one has all that the first has, so
  /// that the others can change over at once.
  static constexpr size_t kDelegates = 2;
  /// A daemon that was in contact and is silent for longer is down.
  static constexpr base::Millis kContactTimeout{1500};
  /// A daemon that was addressed, but never answered, is passed over after
  /// this time.
  static constexpr base::Millis kFirstContactTimeout{600};
  /// A silent daemon is addressed again after this time, if others say that it
  /// is up.
  static constexpr base::Millis kRetryAfter{5000};
  /// A view that is older says nothing about which daemons may be delegates.
  static constexpr base::Millis kViewLifetime{2500};
  /// The daemons in a view count for this long among those that share limits:
  /// if their data centre is only cut off, they still use their shares. Views
  /// come every second or so, which leaves ten seconds from the cut.
  static constexpr base::Millis kCountLifetime{12'000};
  /// A daemon that was never in contact counts as up for this long after it
  /// became known: all may have started at the same time.
  static constexpr base::Millis kPresumedUpFor{3000};
  /// A daemon that is in no view for this long is removed.
  static constexpr base::Millis kForgetAfter{30'000};

  Roster(DaemonInfo self, base::Clock clock);

  const DaemonInfo& self() const { return self_; }

  /// Adds a daemon, or replaces what is known of it. Returns whether something
  /// about it is new. Ignores entries for this daemon itself.
  bool Add(const DaemonInfo& daemon);
  /// Returns null for an unknown daemon.
  const DaemonInfo* Find(const base::HostId& id) const;

  /// A message of the daemon has arrived. A draining one is no delegate.
  void RecordContact(const base::HostId& id, bool draining);
  /// The daemon has not answered. It is no delegate until it is in contact, or
  /// until `RecordVouched` after `kRetryAfter`.
  void RecordSilence(const base::HostId& id);
  /// A delegate of the daemon's data centre says that the daemon is up.
  void RecordVouched(const base::HostId& id);
  /// This daemon was suspended or busy for `pause`, in which it could hear
  /// nobody.
  void ExtendContacts(base::Millis pause);
  /// This daemon takes no new requests and is no delegate any more.
  void SetDraining() { draining_ = true; }
  /// Whether a message of the daemon arrived within `kContactTimeout`.
  bool IsInContact(const base::HostId& id) const;

  /// Replaces the view of `origin` on a data centre, as it was `age` ago.
  void SetView(const base::DataCentreId& data_centre,
               const base::HostId& origin,
               std::set<DaemonHash> alive,
               base::Millis age);
  /// Removes what is out of date, and counts the daemons that are up. To be
  /// called regularly.
  void Update();

  /// Returns the daemons that are to be delegates of `data_centre`, best first;
  /// possibly this one. Has fewer than `kDelegates` if no more are known.
  std::vector<base::HostId> DelegatesOf(
      const base::DataCentreId& data_centre) const;
  /// The silent daemons of a data centre, those first that would be its
  /// delegates; at most `kDelegates`.
  std::vector<base::HostId> SilentOf(
      const base::DataCentreId& data_centre) const;
  /// All daemons that are in contact.
  std::set<base::HostId> Contacts() const;
  /// The daemons of this daemon's data centre that are in contact, with this
  /// one itself: its view as a delegate.
  std::set<DaemonHash> OwnView() const;
  /// The union of the views of a data centre that count, and the age of the
  /// newest; nothing if there is none.
  struct View {
    std::set<DaemonHash> alive;
    base::Millis age;
  };
  std::optional<View> ViewOf(const base::DataCentreId& data_centre) const;
  /// The data centres of all known daemons, with this daemon's own.
  std::vector<base::DataCentreId> DataCentres() const;
  /// The known daemons of a data centre, without this one.
  std::vector<DaemonInfo> DaemonsOf(
      const base::DataCentreId& data_centre) const;

  /// Counts the daemons that are up, with this one.
  size_t DaemonCount() const { return alive_.size(); }
  /// This daemon's rank by rendezvous hashing for `key` among the daemons that
  /// are up, from 0. Costs a walk over the daemons only for a new key, or after
  /// a daemon has come or gone.
  size_t RankFor(std::string_view key) const;

 private:
  struct Entry {
    DaemonInfo info;
    DaemonHash hash = 0;
    /// When it was added, last in contact or last in a view.
    base::Millis seen_at;
    base::Millis added_at;
    std::optional<base::Millis> contact_at;
    /// When it was found to be silent; empty if it was not since the last
    /// contact.
    std::optional<base::Millis> silent_at;
    bool draining = false;
  };
  struct OriginView {
    std::set<DaemonHash> alive;
    base::Millis at;
  };

  bool IsInContact(const Entry& entry) const;
  /// Whether the daemon may be a delegate, as far as is known. `view` is that
  /// of its data centre.
  bool IsPresumedUp(const Entry& entry) const;
  bool MayBeDelegate(const Entry& entry, const std::optional<View>& view) const;
  void ExpireContacts();

  DaemonInfo self_;
  DaemonHash self_hash_;
  base::Clock clock_;
  bool draining_ = false;
  std::map<base::HostId, Entry> entries_;
  std::map<base::DataCentreId, std::map<base::HostId, OriginView>> views_;
  std::set<DaemonHash> alive_;
  mutable std::unordered_map<std::string, size_t> ranks_;
};

}  // namespace dandelion::membership
