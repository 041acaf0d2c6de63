#include "membership/transport.h"

#include <array>
#include <map>
#include <optional>
#include <utility>
#include <zmq.hpp>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error.h"
#include "telemetry/events.h"

namespace dandelion::membership {
namespace {

namespace asio = boost::asio;
using base::kNoThrow;
using base::Task;

// Messages queued for one peer or from it. Heartbeats that are older than this
// many tell nothing new, and the queues of a large fleet must fit into memory.
constexpr int kHighWaterMark = 100;
constexpr int kReconnectMs = 100;
constexpr int kMaxReconnectMs = 1000;
// A connection can break without a reset. ZeroMQ reconnects if probes stay
// unanswered for the timeout.
constexpr int kProbeIntervalMs = 500;
constexpr int kProbeTimeoutMs = 1500;
constexpr size_t kZ85KeyLength = 40;
// Malformed messages may come in great numbers; one line stands for those of
// this time.
constexpr base::Millis kMalformedLogInterval{10'000};

void SetCommonOptions(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
  socket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
  socket.set(zmq::sockopt::heartbeat_ivl, kProbeIntervalMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kProbeTimeoutMs);
}

// Waits until a socket may be readable. The descriptor belongs to ZeroMQ, so it
// is released, not closed.
class ReadableWatcher {
 public:
  ReadableWatcher(const base::Executor& executor, zmq::socket_t& socket)
      : descriptor_(executor, socket.get(zmq::sockopt::fd)) {}
  ~ReadableWatcher() { descriptor_.release(); }
  ReadableWatcher(const ReadableWatcher&) = delete;
  ReadableWatcher& operator=(const ReadableWatcher&) = delete;

  // Returns false if the wait was cancelled or failed.
  Task<bool> WaitReadable() {
    const auto [error] = co_await descriptor_.async_wait(
        asio::posix::stream_descriptor::wait_read, kNoThrow);
    co_return !error;
  }
  void Cancel() { descriptor_.cancel(); }

 private:
  asio::posix::stream_descriptor descriptor_;
};

// The sockets and the tasks that read them. Shared, since the tasks may outlive
// the transport's owner.
class ZmqTransportImpl : public std::enable_shared_from_this<ZmqTransportImpl> {
 public:
  using Keys = ZmqTransport::Keys;
  using Receiver = Transport::Receiver;

  ZmqTransportImpl(base::Executor executor, Keys keys, Receiver receiver)
      : executor_(std::move(executor)),
        keys_(std::move(keys)),
        receiver_(std::move(receiver)),
        authenticator_(context_, zmq::socket_type::rep),
        incoming_(context_, zmq::socket_type::pull) {}

  absl::Status Open(const std::string& listen,
                    const std::vector<PeerAddress>& peers) {
    try {
      // ZeroMQ asks this endpoint to authenticate every new connection (ZAP).
      authenticator_.bind("inproc://zeromq.zap.01");
      SetCommonOptions(incoming_);
      if (UsesCurve()) {
        incoming_.set(zmq::sockopt::curve_server, true);
        incoming_.set(zmq::sockopt::curve_secretkey, keys_.secret_key);
        incoming_.set(zmq::sockopt::zap_domain, "peers");
      }
      incoming_.bind(absl::StrCat("tcp://", listen));
      for (const PeerAddress& peer : peers) {
        Connect(peer);
      }
    } catch (const zmq::error_t& error) {
      return base::MakeError(base::ErrorKind::kInvalidSettings,
                             absl::StrCat("cannot start the peer transport on ",
                                          listen, ": ", error.what()),
                             "check the peer address and the peer keys");
    }
    authenticator_watcher_.emplace(executor_, authenticator_);
    incoming_watcher_.emplace(executor_, incoming_);
    return absl::OkStatus();
  }

  void Start() {
    base::SpawnRestarting(
        executor_, [self = shared_from_this()] { return Receive(self); });
    base::SpawnRestarting(
        executor_, [self = shared_from_this()] { return Authenticate(self); });
  }

  size_t Send(const base::HostId& to, const proto::Envelope& message) {
    const auto peer = outgoing_.find(to);
    if (peer == outgoing_.end() || closed_) {
      return 0;
    }
    const std::string bytes = message.SerializeAsString();
    const auto sent =
        peer->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    if (!sent) {
      return 0;
    }
    ++counts_.messages_sent;
    counts_.bytes_sent += bytes.size();
    return bytes.size();
  }

  void AddPeer(const PeerAddress& peer) {
    RemovePeer(peer.id);
    try {
      Connect(peer);
    } catch (const zmq::error_t& error) {
      telemetry::Emit(telemetry::Event::kPeerRefused,
                      {{"peer", peer.id.value()},
                       {"address", peer.address},
                       {"reason", error.what()}});
    }
  }

  void RemovePeer(const base::HostId& id) { outgoing_.erase(id); }

  const TransportCounts& counts() const { return counts_; }

  void Close() {
    closed_ = true;
    authenticator_watcher_->Cancel();
    incoming_watcher_->Cancel();
  }

 private:
  bool UsesCurve() const { return !keys_.public_key.empty(); }

  void Connect(const PeerAddress& peer) {
    zmq::socket_t socket(context_, zmq::socket_type::push);
    SetCommonOptions(socket);
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
    // Drops messages to a peer that is not connected, instead of queueing them
    // until it is.
    socket.set(zmq::sockopt::immediate, true);
    if (UsesCurve()) {
      socket.set(zmq::sockopt::curve_serverkey, keys_.public_key);
      socket.set(zmq::sockopt::curve_publickey, keys_.public_key);
      socket.set(zmq::sockopt::curve_secretkey, keys_.secret_key);
    }
    socket.connect(absl::StrCat("tcp://", peer.address));
    outgoing_.emplace(peer.id, std::move(socket));
  }

  // The descriptor is edge-triggered, so all messages are read before waiting.
  // Peers may send faster than this daemon reads, so other tasks run between
  // batches.
  static Task<void> Receive(std::shared_ptr<ZmqTransportImpl> self) {
    while (!self->closed_) {
      if (self->ReadBatch()) {
        co_await asio::post(self->executor_, asio::use_awaitable);
        continue;
      }
      const bool readable = co_await self->incoming_watcher_->WaitReadable();
      if (!readable) {
        break;
      }
    }
  }

  // Returns false once no message is left.
  bool ReadBatch() {
    zmq::message_t bytes;
    for (int read = 0; read < ZmqTransport::kMaxBatch; ++read) {
      if (closed_ || !incoming_.recv(bytes, zmq::recv_flags::dontwait)) {
        return false;
      }
      ++counts_.messages_received;
      counts_.bytes_received += bytes.size();
      proto::Envelope message;
      if (message.ParseFromArray(bytes.data(),
                                 static_cast<int>(bytes.size()))) {
        Deliver(message, bytes.size());
      } else {
        ReportMalformed(bytes.size(), "cannot be parsed");
      }
    }
    return true;
  }

  // A message that the receiver cannot handle must not end the process.
  void Deliver(const proto::Envelope& message, size_t bytes) {
    try {
      receiver_(message);
    } catch (const std::exception& error) {
      ReportMalformed(bytes, error.what());
    }
  }

  void ReportMalformed(size_t bytes, std::string_view reason) {
    ++counts_.malformed;
    const base::Millis now = clock_.Now();
    if (now >= next_malformed_log_) {
      next_malformed_log_ = now + kMalformedLogInterval;
      telemetry::Emit(telemetry::Event::kPeerMessageMalformed,
                      {{"bytes", absl::StrCat(bytes)},
                       {"reason", std::string(reason)},
                       {"count", absl::StrCat(counts_.malformed)}});
    }
  }

  static Task<void> Authenticate(std::shared_ptr<ZmqTransportImpl> self) {
    while (!self->closed_) {
      self->ReadAuthenticationRequests();
      const bool readable =
          co_await self->authenticator_watcher_->WaitReadable();
      if (!readable) {
        break;
      }
    }
  }

  // Frames of a ZAP request (RFC 27): version, request id, domain, address,
  // identity, mechanism, client key.
  void ReadAuthenticationRequests() {
    for (;;) {
      std::vector<std::string> frames;
      zmq::message_t frame;
      while (authenticator_.recv(frame, zmq::recv_flags::dontwait)) {
        frames.push_back(frame.to_string());
        if (!frame.more()) {
          break;
        }
      }
      if (frames.empty()) {
        return;
      }
      AnswerAuthentication(frames);
    }
  }

  void AnswerAuthentication(const std::vector<std::string>& frames) {
    constexpr size_t kClientKeyFrame = 6;
    const bool allowed = frames.size() > kClientKeyFrame &&
                         IsDeploymentKey(frames[kClientKeyFrame]);
    if (!allowed) {
      ++counts_.rejected;
      telemetry::Emit(telemetry::Event::kPeerRefused,
                      {{"address", frames.size() > 3 ? frames[3] : ""}});
    }
    const std::array<std::string, 6> answer = {
        "1.0",
        frames.size() > 1 ? frames[1] : "",
        allowed ? "200" : "400",
        allowed ? "OK" : "unknown key",
        "",
        ""};
    for (size_t i = 0; i < answer.size(); ++i) {
      const bool last = i + 1 == answer.size();
      authenticator_.send(
          zmq::buffer(answer[i]),
          last ? zmq::send_flags::none : zmq::send_flags::sndmore);
    }
  }

  // Whether a binary client key is the deployment's public key.
  bool IsDeploymentKey(const std::string& raw_key) const {
    constexpr size_t kRawKeyBytes = 32;
    if (raw_key.size() != kRawKeyBytes) {
      return false;
    }
    std::array<char, kZ85KeyLength + 1> text;
    zmq_z85_encode(text.data(),
                   reinterpret_cast<const uint8_t*>(raw_key.data()),
                   raw_key.size());
    return keys_.public_key == text.data();
  }

  base::Executor executor_;
  Keys keys_;
  Receiver receiver_;
  zmq::context_t context_{1};
  zmq::socket_t authenticator_;
  zmq::socket_t incoming_;
  std::map<base::HostId, zmq::socket_t> outgoing_;
  std::optional<ReadableWatcher> authenticator_watcher_;
  std::optional<ReadableWatcher> incoming_watcher_;
  TransportCounts counts_;
  base::Clock clock_ = base::Clock::Monotonic();
  base::Millis next_malformed_log_;
  bool closed_ = false;
};

// Owner of the shared transport. Closes it, which ends the tasks that share it.
class ZmqTransportHandle : public ZmqTransport {
 public:
  explicit ZmqTransportHandle(std::shared_ptr<ZmqTransportImpl> impl)
      : impl_(std::move(impl)) {}
  ~ZmqTransportHandle() override { impl_->Close(); }
  size_t Send(const base::HostId& to, const proto::Envelope& message) override {
    return impl_->Send(to, message);
  }
  void AddPeer(const PeerAddress& peer) override { impl_->AddPeer(peer); }
  void RemovePeer(const base::HostId& id) override { impl_->RemovePeer(id); }
  const TransportCounts& counts() const override { return impl_->counts(); }
  void Close() override { impl_->Close(); }

 private:
  std::shared_ptr<ZmqTransportImpl> impl_;
};

}  // namespace

absl::StatusOr<std::unique_ptr<ZmqTransport>> ZmqTransport::Make(
    base::Executor executor,
    const std::string& listen,
    const std::vector<PeerAddress>& peers,
    const Keys& keys,
    Receiver receiver) {
  auto impl = std::make_shared<ZmqTransportImpl>(std::move(executor), keys,
                                                 std::move(receiver));
  if (absl::Status opened = impl->Open(listen, peers); !opened.ok()) {
    return opened;
  }
  impl->Start();
  return std::make_unique<ZmqTransportHandle>(std::move(impl));
}

ZmqTransport::Keys ZmqTransport::GenerateKeys() {
  std::array<char, kZ85KeyLength + 1> public_key;
  std::array<char, kZ85KeyLength + 1> secret_key;
  zmq_curve_keypair(public_key.data(), secret_key.data());
  return Keys{public_key.data(), secret_key.data()};
}

}  // namespace dandelion::membership
