// Streams that callers take up again, at daemons in processes of their own.
#include <catch2/catch.hpp>

#include "test/order-fixture.h"

namespace dandelion::test {
namespace {

TEST_CASE("streams taken up at their daemon go on at the version that began",
          "[order]") {
  OrderFixture fixture;
  const auto daemon = fixture.Start("front-1");
  { const auto callers = fixture.BeginStreams(*daemon); }
  fixture.ListNewEngines();
  REQUIRE(fixture.HasListed(*daemon, "new-2"));
  CHECK(fixture.TakeAllUp(*daemon) == kStreams);
  CHECK(fixture.TakenUpByOtherVersions() == 0);
}

TEST_CASE("streams taken up at another daemon go on at the version that began",
          "[order]") {
  OrderFixture fixture;
  const auto first = fixture.Start("front-1");
  const auto second = fixture.Start("front-2");
  { const auto callers = fixture.BeginStreams(*first); }
  fixture.ListNewEngines();
  REQUIRE(fixture.HasListed(*second, "new-2"));
  fixture.AwaitOrigins();
  CHECK(fixture.TakeAllUp(*second) == kStreams);
  CHECK(fixture.TakenUpByOtherVersions() == 0);
}

TEST_CASE("streams taken up after all daemons were killed are joined from one",
          "[order]") {
  OrderFixture fixture;
  auto first = fixture.Start("front-1");
  auto second = fixture.Start("front-2");
  const auto callers = fixture.BeginStreams(*first);
  fixture.AwaitOrigins();
  first.reset();
  second.reset();
  fixture.ListNewEngines();
  first = fixture.Start("front-1");
  second = fixture.Start("front-2");
  CHECK(fixture.TakeAllUp(*second) == kStreams);
  CHECK(fixture.TakenUpByOtherVersions() == 0);
}

TEST_CASE("streams whose version is gone after a kill are refused", "[order]") {
  OrderFixture fixture;
  auto daemon = fixture.Start("front-1");
  const auto callers = fixture.BeginStreams(*daemon);
  fixture.AwaitOrigins();
  daemon.reset();
  fixture.ListNewEngines();
  fixture.store.AppendRecord("old-1", "");
  daemon = fixture.Start("front-1");
  CHECK(fixture.TakeAllUp(*daemon) == 0);
  CHECK(fixture.TakenUpByOtherVersions() == 0);
  CHECK(fixture.CountTakenUp(fixture.old_engine) == 0);
  const auto refused = fixture.TakeUp(*daemon, 1);
  CHECK(refused->received().find("Retry-After: ") != std::string::npos);
  CHECK(refused->received().find("no upstream of the version") !=
        std::string::npos);
}

TEST_CASE("streams taken up while the store is away are not joined",
          "[order]") {
  OrderFixture fixture;
  const auto first = fixture.Start("front-1");
  const auto second = fixture.Start("front-2");
  { const auto callers = fixture.BeginStreams(*first); }
  fixture.ListNewEngines();
  REQUIRE(fixture.HasListed(*first, "new-2"));
  REQUIRE(fixture.HasListed(*second, "new-2"));
  fixture.AwaitOrigins();
  fixture.store.FailWith(503);
  CHECK(fixture.TakeAllUp(*first) == kStreams);
  fixture.TakeAllUp(*second);
  CHECK(fixture.TakenUpByOtherVersions() == 0);
}

TEST_CASE("a stream that is unknown, or named oddly, is not guessed at",
          "[order]") {
  OrderFixture fixture;
  fixture.ListNewEngines();
  const auto daemon = fixture.Start("front-1");
  REQUIRE(fixture.HasListed(*daemon, "new-2"));
  for (const std::string& resumes :
       {std::string(), std::string("Resumes: \r\n"),
        std::string("Resumes: r-never\r\n"),
        "Resumes: " + std::string(300, 'x') + "\r\n",
        std::string("Resumes: \xff\xfe#%&=/\"\\{}\r\n")}) {
    const auto caller = fixture.TakeUp(*daemon, resumes);
    INFO(caller->received());
    CHECK(caller->Status() == RunningDaemon::kRejected);
    CHECK(caller->received().find("not known which version") !=
          std::string::npos);
    CHECK(caller->received().find("Retry-After: ") != std::string::npos);
  }
  const auto twice =
      fixture.TakeUp(*daemon, "Resumes: r-1\r\nResumes: r-2\r\n");
  constexpr int kBadRequest = 400;
  CHECK(twice->Status() == kBadRequest);
  CHECK(fixture.TakenUpByOtherVersions() == 0);
  CHECK(fixture.CountTakenUp(fixture.old_engine) == 0);
}

TEST_CASE("streams of a split route go on in the pool where they began",
          "[order]") {
  OrderFixture fixture;
  fixture.List("other-1", "others", "v1", fixture.other_engine);
  auto daemon = fixture.Start("front-1");
  REQUIRE(fixture.HasListed(*daemon, "other-1"));
  const auto callers = fixture.BeginStreams(*daemon, "split");
  fixture.AwaitOrigins();
  const std::set<std::string> begun = fixture.BegunAt(fixture.old_engine);
  const std::set<std::string> begun_at_other =
      fixture.BegunAt(fixture.other_engine);
  CHECK(begun.size() + begun_at_other.size() == kStreams);
  daemon.reset();
  daemon = fixture.Start("front-1");
  REQUIRE(fixture.HasListed(*daemon, "other-1"));
  CHECK(fixture.TakeAllUp(*daemon, "split") == kStreams);
  CHECK(fixture.ResumedAt(fixture.old_engine) == begun);
  CHECK(fixture.ResumedAt(fixture.other_engine) == begun_at_other);
}

TEST_CASE("streams repeated at a second version go on at that one", "[order]") {
  OrderFixture fixture;
  fixture.List("new-1", "engines", "v2", fixture.new_engine_1);
  auto daemon = fixture.Start("front-1");
  REQUIRE(fixture.HasListed(*daemon, "new-1"));
  const auto callers =
      fixture.BeginStreams(*daemon, "repeated", kRepeatedStreams);
  // The other version has rejected each stream, with its record written.
  fixture.RunUntil(
      [&fixture] {
        return fixture.store.CountRecords(kOriginsTopic) >=
               2 * kRepeatedStreams;
      },
      kRecordTime);
  daemon.reset();
  daemon = fixture.Start("front-1");
  REQUIRE(fixture.HasListed(*daemon, "new-1"));
  for (int stream = 1; stream <= kRepeatedStreams; ++stream) {
    CHECK(fixture.TakeUp(*daemon, stream, "repeated")->Status() == kOk);
  }
  CHECK(fixture.ResumedAt(fixture.old_engine) == fixture.served_by_old);
  CHECK(fixture.ResumedAt(fixture.new_engine_1) == fixture.served_by_new);
}

TEST_CASE("streams go on after the store came back from an older copy",
          "[order]") {
  OrderFixture fixture;
  auto first = fixture.Start("front-1");
  const auto second = fixture.Start("front-2");
  auto callers = fixture.BeginStreams(*first);
  fixture.ListNewEngines();
  REQUIRE(fixture.HasListed(*second, "new-2"));
  fixture.AwaitOrigins();
  CHECK(fixture.TakeUp(*second, 1)->Status() == kOk);
  fixture.store.LoseRecords(kOriginsTopic);
  // The daemon hears of it when it writes the next origin.
  Caller next(fixture.context);
  REQUIRE(next.SendRequest(first->address, kStreams + 1));
  fixture.AwaitOrigins();
  first.reset();
  CHECK(fixture.TakeAllUp(*second) == kStreams);
  CHECK(fixture.TakenUpByOtherVersions() == 0);
}

TEST_CASE("records of streams from another writer change no other stream",
          "[order]") {
  OrderFixture fixture;
  auto daemon = fixture.Start("front-1");
  const auto callers = fixture.BeginStreams(*daemon);
  fixture.AwaitOrigins();
  daemon.reset();
  fixture.ListNewEngines();
  const std::string hex(32, 'a');
  for (const std::string& key :
       {std::string("a"), std::string("a02%#"), hex, hex + ".0", hex + ".x",
        std::string(255, 'z')}) {
    for (const std::string& value :
         {std::string("\xff\xfe"), std::string("[]"), std::string("{}"),
          std::string(R"({"pool": 1, "version": [], "at": "x"})"),
          std::string(
              R"({"pool": "engines", "version": "v2", "at": 1e300})")}) {
      fixture.store.AppendRecord(key, value, kOriginsTopic);
    }
  }
  daemon = fixture.Start("front-1");
  CHECK(fixture.TakeAllUp(*daemon) == kStreams);
  CHECK(fixture.TakenUpByOtherVersions() == 0);
}

TEST_CASE("an unknown stream goes on where only one version can have begun it",
          "[order]") {
  ForwardFixture fixture("draft", fleet::RequestKind::kGeneration);
  const FakeUpstream& engine =
      fixture.AddUpstream("e-1", "draft", StreamUpTo(kLastEvent, true));
  http::Request request = CallerRequestFor("draft", "r-2");
  request.headers.Add("Last-Event-Id", std::to_string(kLastBegunEvent));
  request.headers.Add("Resumes", "r-1");
  const auto send = [&fixture, &request](const std::string& version) {
    fixture.only_version = base::SoftwareVersion(version);
    return fixture.SendRequestOrThrow(request).status;
  };
  CHECK(fixture.SendRequestOrThrow(request).status == RunningDaemon::kRejected);
  CHECK(send("another") == RunningDaemon::kRejected);
  CHECK(engine.seen().empty());
  // The version of the fixture's upstreams.
  CHECK(send("") == kOk);
  CHECK(engine.seen().size() == 1);
}

}  // namespace
}  // namespace dandelion::test
