#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/task.h"
#include "config/config_state.h"
#include "config/tables.h"
#include "platform_client/platform_client.h"
#include "proto/peer.pb.h"

namespace dandelion::config {

/// The log topic that holds the configuration.
inline constexpr char kConfigTopic[] = "config";

/// Keeps the configuration up to date from the log and from peers that have a
/// higher version. The version that it installs never decreases.
class ConfigService {
 public:
  /// Time between two reads of the log by an elected reader.
  static constexpr base::Millis kReadInterval{500};
  /// Time between two reads by the other daemons.
  static constexpr base::Millis kFallbackReadInterval{3000};
  /// Number of daemons of a data centre that are elected as readers.
  static constexpr int kReaderCount = 2;

  struct Hooks {
    /// Sends a message to a peer daemon.
    std::function<void(const base::HostId&, const proto::Envelope&)> send;
    /// Called with the new tables after each increase of the version.
    std::function<void(std::shared_ptr<const Tables>)> on_tables_installed;
    /// This daemon's rank in the reader election of its data centre, from 0.
    std::function<int()> reader_rank;
  };

  ConfigService(base::Executor executor,
                base::Clock clock,
                platform_client::Log& log,
                Hooks hooks);

  /// Reads the log until `Stop`.
  void Start();
  void Stop() { stopped_ = true; }

  /// Asks a peer for the rows that changed after this daemon's version.
  void RequestRows(const base::HostId& peer);
  /// Returns the answer to a peer's request for rows.
  proto::Envelope OnConfigPull(const proto::ConfigPull& pull) const;
  /// Merges rows from a peer; rows of an older state change nothing.
  void OnConfigRows(const proto::ConfigRows& rows);

  /// The tables in force; null before the first version is installed.
  std::shared_ptr<const Tables> tables() const { return tables_; }
  /// The version of `tables()`; 0 if they are null.
  base::Offset version() const;
  /// Whether the last read of the log succeeded; true before the first read.
  bool platform_reachable() const { return platform_reachable_; }

 private:
  base::Task<void> ReadLoop();
  base::Task<void> CatchUp();
  void ApplyPage(const platform_client::LogPage& page);
  base::Task<void> AppendSnapshotIfDue();
  void SetPlatformReachable(bool reachable, const absl::Status& read_status);
  void InstallTables();

  base::Executor executor_;
  base::Clock clock_;
  platform_client::Log& log_;
  Hooks hooks_;
  ConfigState state_;
  std::shared_ptr<const Tables> tables_;
  /// When the newest record that holds the current version was appended, or
  /// when the version arrived from a peer.
  base::Millis version_logged_at_;
  /// How long the log keeps records, by its last answer; 0 if not known yet.
  base::Millis retention_;
  bool platform_reachable_ = true;
  /// Whether the present gap in the log has been reported as an event.
  bool gap_reported_ = false;
  bool stopped_ = false;
};

}  // namespace dandelion::config
