#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/ids.h"
#include "base/task.h"
#include "proto/peer.pb.h"

namespace dandelion::membership {

/// Carries one-way messages between daemons. A message is delivered at most
/// once and may be lost.
class Transport {
 public:
  using Receiver = std::function<void(const proto::Envelope&)>;

  virtual ~Transport() = default;

  /// Sends without blocking. Drops messages to unknown hosts. Returns the bytes
  /// that were sent; 0 for a message that was dropped.
  virtual size_t Send(const base::HostId& to,
                      const proto::Envelope& message) = 0;
};

/// A daemon and the address of its peer socket.
struct PeerAddress {
  base::HostId id;
  /// "IP:PORT".
  std::string address;
};

/// Counters since the transport was made.
struct TransportCounts {
  uint64_t messages_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t messages_received = 0;
  uint64_t bytes_received = 0;
  /// Connections without the deployment's key.
  uint64_t rejected = 0;
  /// Messages that could not be parsed, and were dropped.
  uint64_t malformed = 0;
};

/// A transport over ZeroMQ. With CURVE, both ends prove that they hold the
/// deployment's key pair; other connections are rejected. Without a key pair,
/// connections are neither authenticated nor encrypted, and the network must
/// keep strangers out.
class ZmqTransport : public Transport {
 public:
  /// The deployment's key pair; both keys are empty to run without CURVE.
  struct Keys {
    /// Z85-encoded, 40 characters each.
    std::string public_key;
    std::string secret_key;
  };

  /// Messages that are received in a row before other tasks run.
  static constexpr int kMaxBatch = 16;

  /// Binds to `listen` ("IP:PORT") and connects to `peers`. Fails with
  /// `kInvalidSettings` if an address or a key is unusable.
  static absl::StatusOr<std::unique_ptr<ZmqTransport>> Make(
      base::Executor executor,
      const std::string& listen,
      const std::vector<PeerAddress>& peers,
      const Keys& keys,
      Receiver receiver);

  /// Generates a key pair.
  static Keys GenerateKeys();

  /// Connects to a peer, in place of an earlier connection to it if there is
  /// one. Emits an event if that fails.
  virtual void AddPeer(const PeerAddress& peer) = 0;
  /// Disconnects from a peer; further messages to it are dropped.
  virtual void RemovePeer(const base::HostId& id) = 0;

  virtual const TransportCounts& counts() const = 0;
  /// Stops receiving; messages sent afterwards are dropped.
  virtual void Close() = 0;
};

}  // namespace dandelion::membership
