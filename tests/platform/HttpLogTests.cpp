#include "dandelionstand/platform/RecordFrames.h"
#include "standins/log/LogServer.h"
#include "standins/proxy/FaultProxy.h"
#include "tests/platform/BlockingLogClient.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace dandelionstand;
using namespace dandelionstand::platform;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;
using common::Offset;
using standins::LogBehaviour;
using standins::LogOutage;

namespace {

//! A log client and the stand-in of the log service on one event loop.
struct LogFixture
{
  explicit LogFixture(common::Duration aTimeout = 30s)
    : service_(loop_, common::Address("127.0.0.1:0"))
    , client_(loop_, { .address_ = service_.ListeningAddress(), .timeout_ = aTimeout })
  {
  }

  template<typename Change>
  void ChangeBehaviour(Change aChange)
  {
    LogBehaviour behaviour = service_.GetBehaviour();
    aChange(behaviour);
    service_.SetBehaviour(behaviour);
  }

  common::EventLoop loop_;
  standins::LogServer service_;
  BlockingLogClient client_;
};

} // namespace

TEST_CASE("Records are read back in order with their offsets", "[platform][log]")
{
  LogFixture fixture;
  CHECK(fixture.client_.Append("one").offset_ == Offset(1));
  CHECK(fixture.client_.Append("two").offset_ == Offset(2));
  const ReadResult result = fixture.client_.Read(1);
  CHECK(result.status_ == LogStatus::kOk);
  CHECK(result.records_ == std::vector<Record>{ { Offset(1), "one" }, { Offset(2), "two" } });
  CHECK(result.firstOffset_ == Offset(1));
  CHECK(result.endOffset_ == Offset(3));
}

TEST_CASE("A long poll is answered by the next append", "[platform][log]")
{
  LogFixture fixture;
  ReadResult result;
  fixture.client_.GetLog().Read(kStream, Offset(1), 30s, [&](const ReadResult& aResult) {
    result = aResult;
    fixture.loop_.Stop();
  });
  const auto append = fixture.loop_.After(
    50ms, [&]() { fixture.client_.GetLog().Append(kStream, "late", [](const AppendResult&) {}); });
  fixture.client_.RunUntilStopped();
  CHECK(result.records_ == std::vector<Record>{ { Offset(1), "late" } });
}

TEST_CASE("A long poll without a new record ends after its wait without records", "[platform][log]")
{
  LogFixture fixture;
  const ReadResult result = fixture.client_.Read(1, 20ms);
  CHECK(result.status_ == LogStatus::kOk);
  CHECK(result.records_.empty());
}

TEST_CASE("An append whose answer is lost is reported as unavailable although it took effect",
          "[platform][log]")
{
  LogFixture fixture;
  fixture.ChangeBehaviour([](LogBehaviour& aBehaviour) { aBehaviour.answersToLose_ = 1; });
  CHECK(fixture.client_.Append("lost").status_ == LogStatus::kUnavailable);
  CHECK(fixture.client_.Read(1).records_ == std::vector<Record>{ { Offset(1), "lost" } });
  CHECK(fixture.client_.Append("next").offset_ == Offset(2));
}

TEST_CASE("A read of a dropped offset reports a gap and the retained offsets", "[platform][log]")
{
  LogFixture fixture;
  fixture.ChangeBehaviour([](LogBehaviour& aBehaviour) { aBehaviour.retention_.records_ = 2; });
  for (const char* record : { "one", "two", "three", "four" }) {
    REQUIRE(fixture.client_.Append(record).status_ == LogStatus::kOk);
  }
  const ReadResult gap = fixture.client_.Read(2);
  CHECK(gap.status_ == LogStatus::kGap);
  CHECK(gap.firstOffset_ == Offset(3));
  CHECK(gap.endOffset_ == Offset(5));
  CHECK(gap.records_.empty());
  CHECK(fixture.client_.Read(gap.firstOffset_.Get()).records_.size() == 2);
  CHECK(fixture.client_.Counter("log_reads_total{outcome=\"gap\"}") == 1);
}

TEST_CASE("An append refused by the rate limit does not take effect", "[platform][log]")
{
  LogFixture fixture;
  fixture.ChangeBehaviour([](LogBehaviour& aBehaviour) { aBehaviour.appendsPerSecond_ = 1; });
  REQUIRE(fixture.client_.Append("first").status_ == LogStatus::kOk);
  CHECK(fixture.client_.Append("second").status_ == LogStatus::kOverloaded);
  CHECK(fixture.client_.Read(1).records_.size() == 1);
}

TEST_CASE("Outages and slow answers are reported as unavailable and the client recovers afterwards",
          "[platform][log]")
{
  LogFixture fixture(200ms);
  SECTION("refused")
  {
    fixture.ChangeBehaviour(
      [](LogBehaviour& aBehaviour) { aBehaviour.outage_ = LogOutage::kRefuse; });
  }
  SECTION("silent")
  {
    fixture.ChangeBehaviour(
      [](LogBehaviour& aBehaviour) { aBehaviour.outage_ = LogOutage::kSilent; });
  }
  SECTION("slower than the timeout")
  {
    fixture.ChangeBehaviour([](LogBehaviour& aBehaviour) { aBehaviour.delay_ = 60s; });
  }
  CHECK(fixture.client_.Append("x").status_ == LogStatus::kUnavailable);
  CHECK(fixture.client_.Read(1).status_ == LogStatus::kUnavailable);
  CHECK(fixture.client_.Counter("log_reads_total{outcome=\"unavailable\"}") == 1);
  fixture.ChangeBehaviour([](LogBehaviour& aBehaviour) { aBehaviour = LogBehaviour(); });
  CHECK(fixture.client_.Append("y").status_ == LogStatus::kOk);
}

TEST_CASE("Oversized records are rejected before sending and delivered without data",
          "[platform][log]")
{
  LogFixture fixture;
  CHECK(fixture.client_.Append(std::string(kMaxRecordBytes + 1, 'x')).status_ ==
        LogStatus::kRejected);
  CHECK(fixture.client_.Read(1).endOffset_ == Offset(1));

  // Other clients of the service may append larger records.
  std::string record;
  record.resize(10'000'000, 'x');
  std::string frame;
  AppendFrame(record, frame);
  platform::HttpClient otherClient(fixture.loop_,
                                   { .address_ = fixture.service_.ListeningAddress() });
  otherClient.Send({ .method_ = HttpMethod::kPost,
                     .target_ = "/dandelionstand/log-append?topic=config&part=0",
                     .headers_ = {},
                     .body_ = frame,
                     .timeout_ = 30s,
                     .onBody_ = nullptr },
                   [&](const HttpResponse&) { fixture.loop_.Stop(); });
  fixture.client_.RunUntilStopped();
  REQUIRE(fixture.client_.Append("after").offset_ == Offset(2));
  CHECK(fixture.client_.Read(1).records_ == std::vector<Record>{ { Offset(1), "" } });
  CHECK(fixture.client_.Read(2).records_ == std::vector<Record>{ { Offset(2), "after" } });
  CHECK(fixture.client_.Counter("log_oversized_records_total") == 1);
}

TEST_CASE("Half-open connections are replaced after one timeout", "[platform][log]")
{
  common::EventLoop loop;
  standins::LogServer service(loop, common::Address("127.0.0.1:0"));
  standins::FaultProxy proxy(loop, common::Address("127.0.0.1:0"));
  const common::Address proxyAddress =
    proxy.AddForward(common::Address("127.0.0.1:0"), service.ListeningAddress());
  BlockingLogClient client(loop, { .address_ = proxyAddress, .timeout_ = 300ms });
  // Two concurrent reads leave two idle connections.
  int completedReads = 0;
  for (int read = 0; read < 2; ++read) {
    client.GetLog().Read(kStream, Offset(1), {}, [&](const ReadResult&) {
      if (++completedReads == 2) {
        loop.Stop();
      }
    });
  }
  client.RunUntilStopped();
  proxy.FreezeAll();
  CHECK(client.Append("silent").status_ == LogStatus::kUnavailable);
  CHECK(client.Append("heard").status_ == LogStatus::kOk);
}

TEST_CASE("Requests above the in-flight limit are refused as overloaded without being sent",
          "[platform][log]")
{
  common::EventLoop loop;
  standins::LogServer service(loop, common::Address("127.0.0.1:0"));
  BlockingLogClient client(loop, { .address_ = service.ListeningAddress(), .maxInFlight_ = 1 });
  client.GetLog().Read(kStream, Offset(1), 30s, [](const ReadResult&) {});
  CHECK(client.Append("x").status_ == LogStatus::kOverloaded);
  CHECK(client.Read(1).status_ == LogStatus::kOverloaded);
}

TEST_CASE("Requests to an address without a listener are reported as unavailable",
          "[platform][log]")
{
  BlockingLogClient client({ .address_ = common::Address("127.0.0.1:1") });
  CHECK(client.Append("x").status_ == LogStatus::kUnavailable);
  CHECK(client.Read(1).status_ == LogStatus::kUnavailable);
}

TEST_CASE("A keyed stream retains the newest record of each key", "[platform][log][keyed]")
{
  LogFixture fixture;
  const StreamName members("members");
  const auto append = [&](const std::string& aKey, const std::string& aData) {
    fixture.client_.GetLog().AppendKeyed(
      members, aKey, aData, [&](const AppendResult&) { fixture.loop_.Stop(); });
    fixture.client_.RunUntilStopped();
  };
  append("a", "old");
  append("b", std::string("\0\xff", 2));
  append("a", "new");
  fixture.ChangeBehaviour([](LogBehaviour& aBehaviour) { aBehaviour.retention_.records_ = 1; });
  append("c", "");

  KeyedReadResult newest;
  fixture.client_.GetLog().ReadNewest(members, [&](const KeyedReadResult& aResult) {
    newest = aResult;
    fixture.loop_.Stop();
  });
  fixture.client_.RunUntilStopped();
  REQUIRE(newest.status_ == LogStatus::kOk);
  CHECK(newest.records_ ==
        std::vector<KeyedRecord>{ { "a", "new", Offset(3) },
                                  { "b", std::string("\0\xff", 2), Offset(2) } });
  CHECK(newest.nextOffset_ == Offset(5));
}

TEST_CASE("Newest records that do not fit into one page are all read", "[platform][log][keyed]")
{
  LogFixture fixture;
  fixture.ChangeBehaviour([](LogBehaviour& aBehaviour) { aBehaviour.appendsPerSecond_ = 0; });
  constexpr int kKeys = 1200;
  int appended = 0;
  for (int key = 0; key < kKeys; ++key) {
    fixture.client_.GetLog().AppendKeyed(
      StreamName("many"), "key " + std::to_string(key), "x", [&](const AppendResult& aResult) {
        CHECK(aResult.status_ == LogStatus::kOk);
        ++appended;
        fixture.loop_.Stop();
      });
    fixture.client_.RunUntilStopped();
  }
  REQUIRE(appended == kKeys);
  std::size_t read = 0;
  fixture.client_.GetLog().ReadNewest(StreamName("many"), [&](const KeyedReadResult& aResult) {
    read = aResult.records_.size();
    fixture.loop_.Stop();
  });
  fixture.client_.RunUntilStopped();
  CHECK(read == kKeys);
}

TEST_CASE(
  "A keyed read waits for the next record and reports a gap after the service lost its records",
  "[platform][log][keyed]")
{
  LogFixture fixture;
  const StreamName stream("mine");
  KeyedReadResult result;
  const auto read = [&](std::uint64_t aFrom) {
    fixture.client_.GetLog().ReadKeyed(
      stream, Offset(aFrom), 30s, [&](const KeyedReadResult& aResult) {
        result = aResult;
        fixture.loop_.Stop();
      });
    fixture.client_.RunUntilStopped();
  };
  const auto append = fixture.loop_.After(50ms, [&] {
    fixture.client_.GetLog().AppendKeyed(stream, "k", "v", [](const AppendResult&) {});
  });
  read(1);
  CHECK(result.records_ == std::vector<KeyedRecord>{ { "k", "v", Offset(1) } });
  CHECK(result.nextOffset_ == Offset(2));
  fixture.service_.TrimAll();
  read(1);
  CHECK(result.status_ == LogStatus::kGap);
}