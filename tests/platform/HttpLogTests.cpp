#include "dandelionstand/platform/RecordFrames.h"
#include "standins/log/LogServer.h"
#include "standins/proxy/FaultProxy.h"
#include "tests/platform/LogBench.h"

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

//! A log client and the log service on one event loop.
struct Bench
{
  explicit Bench(common::Duration aTimeout = 30s)
    : service_(loop_, common::Address("127.0.0.1:0"))
    , client_(loop_, { .address_ = service_.ListeningAddress(), .timeout_ = aTimeout })
  {
  }

  template<typename Change>
  void Behave(Change aChange)
  {
    LogBehaviour behaviour = service_.GetBehaviour();
    aChange(behaviour);
    service_.SetBehaviour(behaviour);
  }

  common::EventLoop loop_;
  standins::LogServer service_;
  LogBench client_;
};

} // namespace

TEST_CASE("Records are read back in order with their offsets", "[platform][log]")
{
  Bench bench;
  CHECK(bench.client_.Append("one").offset_ == Offset(1));
  CHECK(bench.client_.Append("two").offset_ == Offset(2));
  const ReadResult result = bench.client_.Read(1);
  CHECK(result.status_ == LogStatus::kOk);
  CHECK(result.records_ == std::vector<Record>{ { Offset(1), "one" }, { Offset(2), "two" } });
  CHECK(result.first_ == Offset(1));
  CHECK(result.next_ == Offset(3));
}

TEST_CASE("A waiting read is answered by the next append", "[platform][log]")
{
  Bench bench;
  ReadResult result;
  bench.client_.GetLog().Read(kStream, Offset(1), 30s, [&](const ReadResult& aResult) {
    result = aResult;
    bench.loop_.Stop();
  });
  const auto append = bench.loop_.After(
    50ms, [&]() { bench.client_.GetLog().Append(kStream, "late", [](const AppendResult&) {}); });
  bench.client_.RunUntilStopped();
  CHECK(result.records_ == std::vector<Record>{ { Offset(1), "late" } });
}

TEST_CASE("A waiting read without a record ends with the wait", "[platform][log]")
{
  Bench bench;
  const ReadResult result = bench.client_.Read(1, 20ms);
  CHECK(result.status_ == LogStatus::kOk);
  CHECK(result.records_.empty());
}

TEST_CASE("An append whose answer is lost is unavailable and took effect", "[platform][log]")
{
  Bench bench;
  bench.Behave([](LogBehaviour& aBehaviour) { aBehaviour.answersToLose_ = 1; });
  CHECK(bench.client_.Append("lost").status_ == LogStatus::kUnavailable);
  CHECK(bench.client_.Read(1).records_ == std::vector<Record>{ { Offset(1), "lost" } });
  CHECK(bench.client_.Append("next").offset_ == Offset(2));
}

TEST_CASE("A read below the retention is a gap that names what is kept", "[platform][log]")
{
  Bench bench;
  bench.Behave([](LogBehaviour& aBehaviour) { aBehaviour.retention_.records_ = 2; });
  for (const char* record : { "one", "two", "three", "four" }) {
    REQUIRE(bench.client_.Append(record).status_ == LogStatus::kOk);
  }
  const ReadResult gap = bench.client_.Read(2);
  CHECK(gap.status_ == LogStatus::kGap);
  CHECK(gap.first_ == Offset(3));
  CHECK(gap.next_ == Offset(5));
  CHECK(gap.records_.empty());
  CHECK(bench.client_.Read(gap.first_.Get()).records_.size() == 2);
  CHECK(bench.client_.Counter("log_reads_total{outcome=\"gap\"}") == 1);
}

TEST_CASE("The rate limit refuses appends that then have not taken effect", "[platform][log]")
{
  Bench bench;
  bench.Behave([](LogBehaviour& aBehaviour) { aBehaviour.appendsPerSecond_ = 1; });
  REQUIRE(bench.client_.Append("first").status_ == LogStatus::kOk);
  CHECK(bench.client_.Append("second").status_ == LogStatus::kOverloaded);
  CHECK(bench.client_.Read(1).records_.size() == 1);
}

TEST_CASE("Outages and slow answers are unavailable, and the client goes on after them",
          "[platform][log]")
{
  Bench bench(200ms);
  SECTION("refused")
  {
    bench.Behave([](LogBehaviour& aBehaviour) { aBehaviour.outage_ = LogOutage::kRefuse; });
  }
  SECTION("silent")
  {
    bench.Behave([](LogBehaviour& aBehaviour) { aBehaviour.outage_ = LogOutage::kSilent; });
  }
  SECTION("slower than the timeout")
  {
    bench.Behave([](LogBehaviour& aBehaviour) { aBehaviour.delay_ = 60s; });
  }
  CHECK(bench.client_.Append("x").status_ == LogStatus::kUnavailable);
  CHECK(bench.client_.Read(1).status_ == LogStatus::kUnavailable);
  CHECK(bench.client_.Counter("log_reads_total{outcome=\"unavailable\"}") == 1);
  bench.Behave([](LogBehaviour& aBehaviour) { aBehaviour = LogBehaviour(); });
  CHECK(bench.client_.Append("y").status_ == LogStatus::kOk);
}

TEST_CASE("Records above the limit are refused before sending and delivered empty",
          "[platform][log]")
{
  Bench bench;
  CHECK(bench.client_.Append(std::string(kMaxRecordBytes + 1, 'x')).status_ ==
        LogStatus::kRejected);
  CHECK(bench.client_.Read(1).next_ == Offset(1));

  // Another program may append what this client does not.
  std::string record;
  record.resize(10'000'000, 'x');
  std::string tooLong;
  AppendFrame(record, tooLong);
  platform::HttpClient other(bench.loop_, { .address_ = bench.service_.ListeningAddress() });
  other.Send({ .method_ = HttpMethod::kPost,
               .target_ = "/dandelionstand/log-append?topic=config&part=0",
               .headers_ = {},
               .body_ = tooLong,
               .timeout_ = 30s,
               .onBody_ = nullptr },
             [&](const HttpAnswer&) { bench.loop_.Stop(); });
  bench.client_.RunUntilStopped();
  REQUIRE(bench.client_.Append("after").offset_ == Offset(2));
  CHECK(bench.client_.Read(1).records_ == std::vector<Record>{ { Offset(1), "" } });
  CHECK(bench.client_.Read(2).records_ == std::vector<Record>{ { Offset(2), "after" } });
  CHECK(bench.client_.Counter("log_oversized_records_total") == 1);
}

TEST_CASE("Connections that have gone silent are replaced after one timeout", "[platform][log]")
{
  common::EventLoop loop;
  standins::LogServer service(loop, common::Address("127.0.0.1:0"));
  standins::FaultProxy proxy(loop, common::Address("127.0.0.1:0"));
  const common::Address front =
    proxy.AddForward(common::Address("127.0.0.1:0"), service.ListeningAddress());
  LogBench client(loop, { .address_ = front, .timeout_ = 300ms });
  // Two reads at once leave two idle connections.
  int ended = 0;
  for (int read = 0; read < 2; ++read) {
    client.GetLog().Read(kStream, Offset(1), {}, [&](const ReadResult&) {
      if (++ended == 2) {
        loop.Stop();
      }
    });
  }
  client.RunUntilStopped();
  proxy.FreezeAll();
  CHECK(client.Append("silent").status_ == LogStatus::kUnavailable);
  CHECK(client.Append("heard").status_ == LogStatus::kOk);
}

TEST_CASE("Requests above the limit are refused as overload without being sent", "[platform][log]")
{
  common::EventLoop loop;
  standins::LogServer service(loop, common::Address("127.0.0.1:0"));
  LogBench client(loop, { .address_ = service.ListeningAddress(), .maxRunning_ = 1 });
  client.GetLog().Read(kStream, Offset(1), 30s, [](const ReadResult&) {});
  CHECK(client.Append("x").status_ == LogStatus::kOverloaded);
  CHECK(client.Read(1).status_ == LogStatus::kOverloaded);
}

TEST_CASE("An address where nothing listens is unavailable", "[platform][log]")
{
  LogBench client({ .address_ = common::Address("127.0.0.1:1") });
  CHECK(client.Append("x").status_ == LogStatus::kUnavailable);
  CHECK(client.Read(1).status_ == LogStatus::kUnavailable);
}

TEST_CASE("A keyed stream keeps the newest record of each key", "[platform][log][keyed]")
{
  Bench bench;
  const StreamName members("members");
  const auto append = [&](const std::string& aKey, const std::string& aData) {
    bench.client_.GetLog().AppendKeyed(
      members, aKey, aData, [&](const AppendResult&) { bench.loop_.Stop(); });
    bench.client_.RunUntilStopped();
  };
  append("a", "old");
  append("b", std::string("\0\xff", 2));
  append("a", "new");
  bench.Behave([](LogBehaviour& aBehaviour) { aBehaviour.retention_.records_ = 1; });
  append("c", "");

  KeyedResult newest;
  bench.client_.GetLog().ReadNewest(members, [&](const KeyedResult& aResult) {
    newest = aResult;
    bench.loop_.Stop();
  });
  bench.client_.RunUntilStopped();
  REQUIRE(newest.status_ == LogStatus::kOk);
  CHECK(newest.records_ ==
        std::vector<KeyedRecord>{ { "a", "new", Offset(3) },
                                  { "b", std::string("\0\xff", 2), Offset(2) } });
  CHECK(newest.next_ == Offset(5));
}

TEST_CASE("More newest records than fit a page are read whole", "[platform][log][keyed]")
{
  Bench bench;
  bench.Behave([](LogBehaviour& aBehaviour) { aBehaviour.appendsPerSecond_ = 0; });
  constexpr int kKeys = 1200;
  int appended = 0;
  for (int key = 0; key < kKeys; ++key) {
    bench.client_.GetLog().AppendKeyed(
      StreamName("many"), "key " + std::to_string(key), "x", [&](const AppendResult& aResult) {
        CHECK(aResult.status_ == LogStatus::kOk);
        ++appended;
        bench.loop_.Stop();
      });
    bench.client_.RunUntilStopped();
  }
  REQUIRE(appended == kKeys);
  std::size_t read = 0;
  bench.client_.GetLog().ReadNewest(StreamName("many"), [&](const KeyedResult& aResult) {
    read = aResult.records_.size();
    bench.loop_.Stop();
  });
  bench.client_.RunUntilStopped();
  CHECK(read == kKeys);
}

TEST_CASE("A keyed read waits for the next record and notices a forgotten history",
          "[platform][log][keyed]")
{
  Bench bench;
  const StreamName stream("mine");
  KeyedResult result;
  const auto read = [&](std::uint64_t aFrom) {
    bench.client_.GetLog().ReadKeyed(stream, Offset(aFrom), 30s, [&](const KeyedResult& aResult) {
      result = aResult;
      bench.loop_.Stop();
    });
    bench.client_.RunUntilStopped();
  };
  const auto append = bench.loop_.After(50ms, [&] {
    bench.client_.GetLog().AppendKeyed(stream, "k", "v", [](const AppendResult&) {});
  });
  read(1);
  CHECK(result.records_ == std::vector<KeyedRecord>{ { "k", "v", Offset(1) } });
  CHECK(result.next_ == Offset(2));
  bench.service_.TrimAll();
  read(1);
  CHECK(result.status_ == LogStatus::kGap);
}
