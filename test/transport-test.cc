#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <stdexcept>
#include <zmq.hpp>

#include "absl/strings/str_cat.h"
#include "membership/pull_schedule.h"
#include "membership/transport.h"

namespace dandelion::test {
namespace {

using base::HostId;
using base::Millis;
using boost::asio::ip::tcp;
using membership::ZmqTransport;

// Returns "IP:PORT" of a port on the loopback address that is free now.
std::string FreeAddress(boost::asio::io_context& context) {
  const tcp::acceptor probe(
      context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return absl::StrCat("127.0.0.1:", probe.local_endpoint().port());
}

TEST_CASE(
    "a flood of messages from peers does not keep other tasks from running",
    "[transport]") {
  boost::asio::io_context context;
  const std::string address = FreeAddress(context);
  int received = 0;
  auto receiver =
      ZmqTransport::Make(context.get_executor(), address, {}, {},
                         [&received](const proto::Envelope&) { ++received; });
  REQUIRE(receiver.ok());
  auto sender = ZmqTransport::Make(context.get_executor(), FreeAddress(context),
                                   {{HostId("receiver"), address}}, {},
                                   [](const proto::Envelope&) {});
  REQUIRE(sender.ok());
  proto::Envelope message;
  message.set_from("sender");
  message.mutable_fleet_beat()->set_data_centre(std::string(200, 'a'));
  constexpr int kMessages = 5000;
  int most_in_one_turn = 0;
  // Sends are dropped until the connection is up, and while its queue is full.
  while (received < kMessages) {
    for (int i = 0; i < 2 * ZmqTransport::kMaxBatch; ++i) {
      (*sender)->Send(HostId("receiver"), message);
    }
    const int before = received;
    context.poll_one();
    most_in_one_turn = std::max(most_in_one_turn, received - before);
  }
  CHECK(most_in_one_turn <= ZmqTransport::kMaxBatch);
}

TEST_CASE("messages that cannot be handled are counted and dropped",
          "[transport]") {
  boost::asio::io_context context;
  const std::string address = FreeAddress(context);
  bool received = false;
  auto receiver =
      ZmqTransport::Make(context.get_executor(), address, {}, {},
                         [&received](const proto::Envelope& message) {
                           if (message.from() == "faulty") {
                             throw std::runtime_error("unexpected");
                           }
                           received = true;
                         });
  REQUIRE(receiver.ok());
  zmq::context_t zmq_context;
  zmq::socket_t sender(zmq_context, zmq::socket_type::push);
  sender.set(zmq::sockopt::linger, 0);
  sender.connect("tcp://" + address);
  proto::Envelope message;
  message.set_from("faulty");
  const std::string faulty = message.SerializeAsString();
  message.set_from("sound");
  const std::string sound = message.SerializeAsString();
  for (const std::string& bytes :
       {std::string("\xff\xff\xff"), faulty, sound}) {
    sender.send(zmq::buffer(bytes), zmq::send_flags::none);
  }
  while (!received) {
    context.run_one();
  }
  CHECK((*receiver)->counts().malformed == 2);
}

TEST_CASE("a daemon that is behind asks all peers at once", "[transport]") {
  membership::PullSchedule pulls;
  const HostId first("a");
  const HostId second("b");
  CHECK(pulls.TryStart(first, Millis(0)));
  CHECK_FALSE(pulls.TryStart(first, Millis(100)));
  CHECK_FALSE(pulls.TryStart(second, Millis(100)));
  pulls.OnAnswer(second, true, Millis(100));
  CHECK_FALSE(pulls.TryStart(second, Millis(100)));
  // A peer that is busy says so, and another one is asked at once.
  pulls.OnAnswer(first, false, Millis(100));
  CHECK_FALSE(pulls.TryStart(first, Millis(100)));
  CHECK(pulls.TryStart(second, Millis(100)));
  // One that does not answer is waited for, the longer the more often.
  CHECK_FALSE(pulls.TryStart(first, Millis(599)));
  CHECK(pulls.TryStart(first, Millis(600)));
  CHECK_FALSE(pulls.TryStart(second, Millis(1599)));
  CHECK(pulls.TryStart(second, Millis(1600)));
  pulls.OnAnswer(second, true, Millis(1700));
  CHECK(pulls.TryStart(first, Millis(1700)));
  CHECK(pulls.TryStart(second, Millis(2200)));
}

TEST_CASE("answers to pulls fill a small host's link", "[transport]") {
  membership::AnswerBudget budget;
  constexpr size_t kAnswer = 100'000;
  size_t sent = 0;
  Millis now(0);
  for (; now < Millis(10'000); now = now + Millis(10)) {
    if (budget.MaySend(now)) {
      budget.Spend(kAnswer, now);
      sent += kAnswer;
    }
  }
  // Half of 10 Mbit/s, and the answer that was begun last.
  constexpr size_t kHalfLinkBytes = 10'000'000 / 8 / 2 * 10;
  CHECK(sent <= kHalfLinkBytes + kAnswer);
  CHECK(sent >= kHalfLinkBytes / 2);
}

}  // namespace
}  // namespace dandelion::test
