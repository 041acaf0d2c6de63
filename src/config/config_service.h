#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/task.h"
#include "config/fold.h"
#include "config/tables.h"
#include "platform/log.h"
#include "proto/peer.pb.h"

namespace dandelion::config {

inline constexpr char kConfigStream[] = "config";

/// Keeps the configuration in force: folds the log's stream and follows peers
/// that have a higher version. Installs only higher versions.
class ConfigService {
 public:
  static constexpr base::Millis kReadInterval{500};
  /// Daemons that leave reading to others of their data centre still read
  /// this often.
  static constexpr base::Millis kBackstopInterval{3000};
  static constexpr int kReaders = 2;

  struct Hooks {
    std::function<void(const base::HostId&, const proto::Envelope&)> send;
    std::function<void(std::shared_ptr<const Tables>)> on_install;
    /// This daemon's place among the readers of its data centre, from 0.
    std::function<int()> reader_rank;
  };

  ConfigService(base::Executor executor,
                base::Clock clock,
                platform::Log& log,
                Hooks hooks);

  /// Reads the log until `Stop`.
  void Start();
  void Stop() { stopped_ = true; }

  /// Asks a peer for the rows that it has and this daemon lacks.
  void PullFrom(const base::HostId& peer);
  proto::Envelope OnPull(const proto::ConfigPull& pull) const;
  void OnRows(const proto::ConfigRows& rows);

  /// The tables in force; null before the first.
  std::shared_ptr<const Tables> tables() const { return tables_; }
  base::Offset version() const;
  bool platform_reachable() const { return platform_reachable_; }

 private:
  base::Task<void> Run();
  base::Task<void> ReadOnce();
  void FoldPage(const platform::LogPage& page);
  base::Task<void> RefreshRetention();
  void NotePlatform(bool reachable, const absl::Status& why);
  void Install();

  base::Executor executor_;
  base::Clock clock_;
  platform::Log& log_;
  Hooks hooks_;
  Fold fold_;
  std::shared_ptr<const Tables> tables_;
  /// When the newest record that carries the present version was appended.
  base::Millis carried_since_;
  base::Millis retention_;
  bool platform_reachable_ = true;
  bool gap_reported_ = false;
  bool stopped_ = false;
};

}  // namespace dandelion::config
