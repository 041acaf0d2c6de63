#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "relay/forwarder.h"
#include "test/fake-origin-store.h"

namespace dandelion::test {

/// An in-process upstream that answers with a handler and records requests.
class FakeUpstream {
 public:
  FakeUpstream(const base::Executor& executor, http::Handler handler);

  boost::asio::ip::tcp::endpoint address() const;
  const std::vector<http::Request>& seen() const { return seen_; }
  void CloseAll() { server_.CloseAll(); }

 private:
  http::Handler handler_;
  std::vector<http::Request> seen_;
  http::Server server_;
};

/// What a `RawUpstream` sends on each connection.
struct RawAnswer {
  std::string bytes;
  /// Written after `bytes` again and again until the peer closes the
  /// connection; nothing if empty. No more than `kMaxRepeatedBytes` are sent.
  std::string repeated = "";
  /// Pause between two writes of `repeated`.
  base::Millis pause{0};
  /// Ends its own direction of the connection after `bytes`, so that they are
  /// whole whatever becomes of the other one.
  bool shut_down = false;
  /// Reads until the peer ends its direction, before this one is closed.
  bool read_rest = false;
  /// Resets the connection after `bytes`, in place of closing it. Closing it
  /// while bytes of the request are unread resets it, too.
  bool reset = false;
  /// Keeps the connection open after `bytes` until `EndHeld`.
  bool held = false;
};

/// An upstream that answers the first bytes on each connection with fixed bytes
/// and closes the connection.
class RawUpstream {
 public:
  /// Bounds the memory of a peer that reads without end.
  static constexpr size_t kMaxRepeatedBytes = 64 * 1024 * 1024;

  RawUpstream(const base::Executor& executor, RawAnswer answer);

  boost::asio::ip::tcp::endpoint address() const {
    return acceptor_.local_endpoint();
  }
  void Close() { acceptor_.close(); }
  /// Ends the connections of answers that are held.
  void EndHeld() { held_.cancel(); }
  /// Number of connections so far.
  int connections() const { return connections_; }
  /// Number of connections that the peer closed before all of `repeated` was
  /// sent.
  int cut() const { return cut_; }

 private:
  base::Task<void> AcceptAll();
  base::Task<void> Answer(boost::asio::ip::tcp::socket socket);

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer held_;
  RawAnswer answer_;
  int connections_ = 0;
  int cut_ = 0;
};

/// Engine control whose copies are answered by a function of the test.
class FakeEngineControl : public relay::EngineControl {
 public:
  /// Answers the final copy that is held. Returns false if there is none.
  bool AnswerFinalCopy();

  std::function<relay::KvCacheCopyResult(const base::RequestId& generation,
                                         bool stop_generation)>
      on_copy;
  /// Handles of the copies that were freed.
  std::vector<std::string> freed_handles;
  /// What the engine says of itself in its answers to copies.
  routing::SelfReport self_report;
  /// Number of copies that were requested.
  int copies = 0;
  /// Answers a final copy only at `AnswerFinalCopy`.
  bool hold_final_copies = false;

  base::Task<relay::KvCacheCopyResult> CopyKvCache(
      boost::asio::ip::tcp::endpoint source,
      base::RequestId generation,
      boost::asio::ip::tcp::endpoint target,
      bool stop_generation,
      base::Millis timeout) override;
  base::Task<void> FreeCopy(boost::asio::ip::tcp::endpoint source,
                            std::string handle) override;
  base::Task<absl::StatusOr<relay::EngineReport>> FetchEngineReport(
      boost::asio::ip::tcp::endpoint engine) override;

 private:
  std::optional<boost::asio::steady_timer> held_answer_;
};

/// A forwarder with its dependencies and an HTTP server for callers, all in
/// this process.
class ForwardFixture {
 public:
  ForwardFixture();
  /// Publishes one route with a pool of the same name.
  ForwardFixture(const std::string& name,
                 fleet::RequestKind kind,
                 int max_upstreams = 1);
  ~ForwardFixture();

  /// Adds a route for the path "/NAME/" and a pool of the same name.
  fleet::Route& AddRoute(const std::string& name, fleet::RequestKind kind);
  /// Makes the added routes take effect.
  void Publish();
  FakeUpstream& AddUpstream(const std::string& id,
                            const std::string& pool,
                            http::Handler handler);
  /// Adds an upstream that answers any request with the bytes of `answer`.
  RawUpstream& AddRawUpstream(const std::string& id,
                              const std::string& pool,
                              std::string answer);
  RawUpstream& AddRawUpstream(const std::string& id,
                              const std::string& pool,
                              RawAnswer answer);
  /// Sends a request and waits for the complete answer.
  absl::StatusOr<http::Response> SendRequest(http::Request request);
  /// Sends a request. Calls `on_response` with the answer while tasks run.
  void StartRequest(
      http::Request request,
      std::function<void(absl::StatusOr<http::Response>)> on_response);
  /// Like `SendRequest`, but throws if there is no complete answer.
  http::Response SendRequestOrThrow(http::Request request);
  /// Runs tasks until the condition holds. Returns false after ten seconds.
  bool RunUntil(const std::function<bool()>& condition);
  /// Runs tasks until none is ready.
  void RunUntilIdle();
  base::Executor executor() { return context_.get_executor(); }
  base::Millis Now() const { return clock_.Now(); }
  /// Sets the daemon's clock forward and lets the quarantine decide. Timers are
  /// not affected.
  void AdvanceClock(base::Millis by);
  relay::Forwarder& forwarder() { return *forwarder_; }
  /// Lets the daemon hand requests over to those in `reach_directory`. To be
  /// called before the first request.
  void EnableHandOver();
  unsigned short port() const { return callers_->port(); }

  /// Software version of the upstreams that are added from now on.
  base::SoftwareVersion added_version;
  FakeEngineControl engines;
  fleet::UpstreamList upstreams;
  routing::LoadTracker loads;
  routing::UpstreamHealth health;
  /// The daemon's rank among those that share the limits of upstreams.
  routing::DaemonRank rank;
  routing::SelfReports self_reports;
  std::unique_ptr<relay::Placer> placer;
  std::unique_ptr<migration::Migrator> migrator;
  relay::PoolRetryBudget retry_budget;
  telemetry::Metrics metrics;
  base::Millis catalogue_age{0};
  admission::StopDeadline stop;
  admission::PartQuarantine quarantine;
  rollout::Rollouts rollouts;
  FakeOriginStore origin_store;
  std::unique_ptr<relay::StreamOrigins> origins;
  /// The only version that can have begun any stream.
  std::optional<base::SoftwareVersion> only_version;
  /// Null unless hand-overs are enabled.
  std::unique_ptr<routing::UpstreamReach> reach;
  std::unique_ptr<membership::ReachDirectory> reach_directory;

 private:
  relay::ForwardServices MakeServices();
  void RegisterUpstream(const std::string& id,
                        const std::string& pool,
                        const boost::asio::ip::tcp::endpoint& address);

  boost::asio::io_context context_;
  http::Client client_;
  base::Millis clock_offset_{0};
  base::Clock clock_;
  relay::PlatformProtocol protocol_;
  fleet::Catalogue draft_;
  fleet::CataloguePtr catalogue_;
  std::unique_ptr<relay::HandOverServices> hand_over_;
  std::unique_ptr<relay::Forwarder> forwarder_;
  std::unique_ptr<http::Server> callers_;
  std::map<std::string, std::unique_ptr<FakeUpstream>> fakes_;
  std::vector<std::unique_ptr<RawUpstream>> raw_;
};

/// Returns a request to `route` from a caller that waits for `deadline`.
http::Request CallerRequestFor(const std::string& route,
                               const std::string& id,
                               base::Millis deadline = base::Millis(5000));
/// Returns the head of a sealed answer with status 200 to the request `id`.
/// `framing` holds the header lines that delimit its body.
std::string RawHead(const std::string& id, const std::string& framing);
/// Returns a sealed answer to the request `id` with a `Content-Length`.
std::string RawAnswerTo(const std::string& id, const std::string& body);
/// Returns an answer to `request` that carries the upstream's seal.
http::Response SealedResponse(const http::Request& request, std::string body);
/// Returns an event of a stream.
std::string EventText(int64_t id);
/// Returns the events from the first to `last`.
std::string EventsUpTo(int64_t last);
/// Streams the events after `Last-Event-Id` up to `last`, then ends the stream
/// or breaks it.
http::Handler StreamUpTo(int64_t last, bool complete);
/// Answers a request completely.
base::Task<void> RespondWithAnswer(http::Exchange& exchange);
/// Rejects a request as an upstream that is full.
base::Task<void> RejectNotRun(http::Exchange& exchange);

}  // namespace dandelion::test
