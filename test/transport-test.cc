#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "absl/strings/str_cat.h"
#include "membership/transport.h"

namespace dandelion::test {
namespace {

using base::HostId;
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

}  // namespace
}  // namespace dandelion::test
