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

/// Carries messages between daemons. A message is delivered at most once and
/// may be lost; there is no answer.
class Transport {
 public:
  using Receiver = std::function<void(const proto::Envelope&)>;

  virtual ~Transport() = default;

  /// Sends without waiting. Messages to unknown hosts are dropped.
  virtual void Send(const base::HostId& to, const proto::Envelope& message) = 0;
};

/// What the transport needs to know of one peer.
struct PeerAddress {
  base::HostId id;
  /// "IP:PORT".
  std::string address;
};

/// Counts of one direction.
struct TransportCounts {
  uint64_t messages_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t messages_received = 0;
  uint64_t bytes_received = 0;
  uint64_t refused = 0;
};

/// A transport over ZeroMQ. Both ends prove with CURVE that they hold the
/// deployment's key pair; others are refused. Without a key pair, messages go
/// unprotected and the network must keep others out.
class ZmqTransport : public Transport {
 public:
  struct Keys {
    /// Z85, 40 characters each.
    std::string public_key;
    std::string secret_key;
  };

  /// Binds to `listen` ("IP:PORT"). Fails with `kInvalidSettings`.
  static absl::StatusOr<std::unique_ptr<ZmqTransport>> Make(
      base::Executor executor,
      const std::string& listen,
      const std::vector<PeerAddress>& peers,
      const Keys& keys,
      Receiver receiver);

  /// A new key pair.
  static Keys MakeKeys();

  /// Connects to a peer that was found at run time, or to its new address.
  virtual void AddPeer(const PeerAddress& peer) = 0;
  /// Forgets a peer; messages to it are dropped.
  virtual void RemovePeer(const base::HostId& id) = 0;

  virtual const TransportCounts& counts() const = 0;
  virtual void Close() = 0;
};

}  // namespace dandelion::membership
