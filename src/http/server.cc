#include "http/server.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "base/error.h"
#include "http/request_memory.h"
#include "http/session.h"

namespace dandelion::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using base::ErrorKind;
using base::kNoThrow;
using base::Millis;
using base::Task;
using detail::Session;

}  // namespace

class Server::Impl : public std::enable_shared_from_this<Server::Impl> {
 public:
  Impl(const base::Executor& executor,
       ServerLimits limits,
       Handler handler,
       ServerHooks hooks)
      : executor_(executor),
        limits_(limits),
        handler_(std::move(handler)),
        hooks_(std::move(hooks)),
        clock_(base::Clock::Monotonic()),
        memory_(std::make_shared<RequestMemory>(clock_,
                                                limits.request_memory_bytes)),
        acceptor_(executor) {}

  absl::Status Bind(const tcp::endpoint& endpoint) {
    boost::system::error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      acceptor_.bind(endpoint, error);
    }
    if (error) {
      return ListenError(endpoint, error);
    }
    port_ = acceptor_.local_endpoint().port();
    return absl::OkStatus();
  }

  absl::Status StartAccepting() {
    boost::system::error_code error;
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
      return ListenError(acceptor_.local_endpoint(), error);
    }
    // `AcceptWaiting` must not wait for a connection.
    acceptor_.non_blocking(true, error);
    if (error) {
      return ListenError(acceptor_.local_endpoint(), error);
    }
    listening_ = true;
    base::SpawnRestarting(
        executor_, [self = shared_from_this()] { return AcceptLoop(self); });
    return absl::OkStatus();
  }

  void StopAccepting() {
    if (!acceptor_.is_open()) {
      return;
    }
    // Closing the acceptor resets connections that are still in the backlog, so
    // accept them first.
    constexpr int kUnlimited = std::numeric_limits<int>::max();
    AcceptWaiting(kUnlimited);
    listening_ = false;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }

  void CloseIdle() {
    for (Session* session : sessions_) {
      if (session->idle()) {
        session->CloseNow();
      }
    }
  }

  void CloseAll() {
    for (Session* session : sessions_) {
      session->CloseNow();
    }
  }

  size_t in_flight() const {
    size_t count = 0;
    for (const Session* session : sessions_) {
      count += session->busy() ? 1 : 0;
    }
    return count;
  }

  size_t arriving() const {
    return static_cast<size_t>(std::count_if(
        sessions_.begin(), sessions_.end(),
        [](const Session* session) { return session->receiving(); }));
  }

  size_t connections() const { return sessions_.size(); }

  size_t request_memory() const { return memory_->used(); }

  bool CanAccept() const {
    const bool has_room =
        sessions_.size() < limits_.connections ||
        std::any_of(sessions_.begin(), sessions_.end(),
                    [this](Session* session) {
                      return session->between_requests() || IsOverdue(*session);
                    });
    return listening_ && !accept_failing_since_ && has_room;
  }

  unsigned short port() const { return port_; }
  void DisableKeepAlive() { close_after_response_ = true; }
  void SetLimits(const ServerLimits& limits) {
    limits_ = limits;
    memory_->SetLimit(limits.request_memory_bytes);
  }

 private:
  // Connections accepted in a row before other tasks run.
  static constexpr int kAcceptBatch = 32;
  // A connection that has waited so long for a request, or for the rest of one,
  // may be closed to make room for another.
  static constexpr Millis kMinRequestWait{1000};
  // Pause after a failed accept.
  static constexpr Millis kAcceptRetryInterval{10};

  static absl::Status ListenError(const tcp::endpoint& endpoint,
                                  const boost::system::error_code& error) {
    return base::MakeError(
        ErrorKind::kInvalidSettings,
        "cannot listen on " + endpoint.address().to_string() + ":" +
            std::to_string(endpoint.port()) + ": " + error.message(),
        "choose a free address in the settings");
  }

  // The coroutines below share ownership of `self`, so that connections that
  // are still open outlive the Server object.
  static Task<void> AcceptLoop(std::shared_ptr<Impl> self) {
    while (self->acceptor_.is_open()) {
      auto [error, socket] = co_await self->acceptor_.async_accept(kNoThrow);
      if (error == asio::error::operation_aborted) {
        co_return;
      }
      if (error) {
        // Accepting fails when the process is out of file descriptors. If no
        // connection can be closed, exchanges in progress must release some.
        self->RecordAcceptFailure(error);
        self->CloseLongestIdle();
        co_await base::SleepFor(kAcceptRetryInterval);
        continue;
      }
      self->RecordAccept();
      self->StartSession(std::move(socket));
      self->AcceptWaiting(kAcceptBatch - 1);
    }
  }

  // Accepts up to `count` connections that are established already. Callers
  // that arrive together would otherwise wait for one turn of the event loop
  // each.
  void AcceptWaiting(int count) {
    boost::system::error_code error;
    for (int accepted = 0; accepted < count; ++accepted) {
      tcp::socket socket(executor_);
      acceptor_.accept(socket, error);
      if (error) {
        return;
      }
      RecordAccept();
      StartSession(std::move(socket));
    }
  }

  // The session that has waited for longest among those that `is_eligible`
  // selects; null if there is none.
  template <typename Predicate>
  Session* FindLongestWaiting(Predicate is_eligible) const {
    Session* longest = nullptr;
    for (Session* session : sessions_) {
      const bool longer =
          !longest || session->waiting_since() < longest->waiting_since();
      if (longer && is_eligible(*session)) {
        longest = session;
      }
    }
    return longest;
  }

  // Closes the connection that has been idle for longest, of `remote` if that
  // is set. Returns false if none is idle.
  bool CloseLongestIdle(const asio::ip::address* remote = nullptr) {
    Session* const longest = FindLongestWaiting([remote](Session& session) {
      return IsFrom(session, remote) && session.idle();
    });
    if (!longest) {
      return false;
    }
    longest->CloseNow();
    Remove(longest);
    return true;
  }

  // Whether the session has waited too long for a request to be kept when there
  // is no room for another connection.
  bool IsOverdue(const Session& session) const {
    return session.awaits_request() &&
           clock_.Now() - session.waiting_since() >= kMinRequestWait;
  }

  // Ends the connection that has waited longest for a request, or for the rest
  // of one, of `remote` if that is set. Returns false if none has waited for
  // long.
  bool DisplaceOverdue(const asio::ip::address* remote) {
    Session* const longest =
        FindLongestWaiting([this, remote](const Session& session) {
          return IsFrom(session, remote) && IsOverdue(session);
        });
    if (!longest) {
      return false;
    }
    if (hooks_.on_displaced) {
      hooks_.on_displaced();
    }
    longest->Displace();
    Remove(longest);
    return true;
  }

  static bool IsFrom(const Session& session, const asio::ip::address* remote) {
    return !remote || session.remote() == *remote;
  }

  // Whether one more connection from `remote` may be opened, after another one
  // was closed if need be. An address at its own limit loses one of its own.
  bool MakeRoom(const asio::ip::address& remote) {
    const auto count = sessions_per_address_.find(remote);
    const bool address_is_full =
        count != sessions_per_address_.end() &&
        count->second >= limits_.connections_per_address;
    if (!address_is_full && sessions_.size() < limits_.connections) {
      return true;
    }
    const asio::ip::address* const among = address_is_full ? &remote : nullptr;
    return CloseLongestIdle(among) || DisplaceOverdue(among);
  }

  // Takes a connection out of the counts; does nothing if it was.
  void Remove(Session* session) {
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) {
      return;
    }
    sessions_.erase(found);
    const auto entry = sessions_per_address_.find(session->remote());
    if (--entry->second == 0) {
      sessions_per_address_.erase(entry);
    }
  }

  void RecordAcceptFailure(const boost::system::error_code& error) {
    if (accept_failing_since_) {
      return;
    }
    accept_failing_since_ = clock_.Now();
    if (hooks_.on_accept_failed) {
      hooks_.on_accept_failed(error.message());
    }
  }

  void RecordMemoryRefusal(size_t held_bytes) {
    if (hooks_.on_memory_refused) {
      hooks_.on_memory_refused(held_bytes, memory_->used());
    }
  }

  void RecordAccept() {
    if (accept_failing_since_ && hooks_.on_accept_resumed) {
      hooks_.on_accept_resumed(clock_.Now() - *accept_failing_since_);
    }
    accept_failing_since_.reset();
    if (hooks_.on_accepted) {
      hooks_.on_accepted();
    }
  }

  void StartSession(tcp::socket socket) {
    boost::system::error_code error;
    const tcp::endpoint remote = socket.remote_endpoint(error);
    if (error) {
      return;
    }
    socket.set_option(tcp::no_delay(true), error);
    base::Spawn(executor_,
                ServeConnection(shared_from_this(), std::move(socket),
                                remote.address()));
  }

  static Task<void> ServeConnection(std::shared_ptr<Impl> self,
                                    tcp::socket socket,
                                    asio::ip::address remote) {
    const auto owned = std::make_shared<Session>(std::move(socket), remote,
                                                 self->limits_, self->memory_);
    Session& session = *owned;
    const bool has_room = self->MakeRoom(remote);
    if (!has_room) {
      if (self->hooks_.on_rejected) {
        self->hooks_.on_rejected();
      }
      co_await session.Respond(detail::MakeTooManyConnections());
      co_return;
    }
    ++self->sessions_per_address_[remote];
    self->sessions_.insert(&session);
    const absl::Cleanup remove_session = [&self, &session] {
      self->Remove(&session);
    };
    // An error that nobody expected must end one connection, not the process.
    try {
      co_await session.ServeRequests(self->handler_,
                                     self->close_after_response_,
                                     [&self](size_t held_bytes) {
                                       self->RecordMemoryRefusal(held_bytes);
                                     });
    } catch (const std::exception& error) {
      session.Abort();
      if (self->hooks_.on_handler_failed) {
        self->hooks_.on_handler_failed(error.what());
      }
    }
  }

  base::Executor executor_;
  ServerLimits limits_;
  Handler handler_;
  ServerHooks hooks_;
  base::Clock clock_;
  std::shared_ptr<RequestMemory> memory_;
  tcp::acceptor acceptor_;
  /// When accepting began to fail; empty while it works.
  std::optional<Millis> accept_failing_since_;
  std::set<Session*> sessions_;
  std::map<asio::ip::address, size_t> sessions_per_address_;
  unsigned short port_ = 0;
  bool listening_ = false;
  bool close_after_response_ = false;
};

Server::Server(const base::Executor& executor,
               ServerLimits limits,
               Handler handler,
               ServerHooks hooks)
    : impl_(std::make_shared<Impl>(executor,
                                   limits,
                                   std::move(handler),
                                   std::move(hooks))) {}
Server::~Server() {
  impl_->StopAccepting();
  impl_->CloseAll();
}
absl::Status Server::Bind(const tcp::endpoint& endpoint) {
  return impl_->Bind(endpoint);
}
absl::Status Server::StartAccepting() {
  return impl_->StartAccepting();
}
absl::Status Server::BindAndAccept(const tcp::endpoint& endpoint) {
  const absl::Status bound = Bind(endpoint);
  return bound.ok() ? StartAccepting() : bound;
}
unsigned short Server::port() const {
  return impl_->port();
}
void Server::SetLimits(const ServerLimits& limits) {
  impl_->SetLimits(limits);
}
void Server::DisableKeepAlive() {
  impl_->DisableKeepAlive();
}
void Server::StopAccepting() {
  impl_->StopAccepting();
}
void Server::CloseIdle() {
  impl_->CloseIdle();
}
void Server::CloseAll() {
  impl_->CloseAll();
}
size_t Server::in_flight() const {
  return impl_->in_flight();
}
size_t Server::arriving() const {
  return impl_->arriving();
}
size_t Server::connections() const {
  return impl_->connections();
}
size_t Server::request_memory() const {
  return impl_->request_memory();
}
bool Server::CanAccept() const {
  return impl_->CanAccept();
}

bool ParseEndpoint(std::string_view text, tcp::endpoint* endpoint) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  boost::system::error_code error;
  const asio::ip::address address =
      asio::ip::make_address(std::string(text.substr(0, colon)), error);
  const std::string_view digits = text.substr(colon + 1);
  unsigned short port = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error || digits.empty() || parsed.ec != std::errc() ||
      parsed.ptr != digits.data() + digits.size()) {
    return false;
  }
  *endpoint = tcp::endpoint(address, port);
  return true;
}

}  // namespace dandelion::http
