#include "dandelionstand/platform/HttpLog.h"
#include "standins/log/LogServer.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace dandelionstand;
using namespace dandelionstand::platform;
using namespace std::chrono_literals;
using common::Offset;

namespace {

const StreamName kStream("config");
constexpr auto kDeadline = 30s;

//! A log client and the log service on one event loop.
struct Bench
{
  explicit Bench(common::Duration aTimeout = 10s)
    : service_(loop_, common::Address("127.0.0.1:0"))
    , log_(loop_, { .address_ = service_.ListeningAddress(), .timeout_ = aTimeout }, counters_)
  {
  }

  AppendResult Append(std::string aData)
  {
    AppendResult result;
    log_.Append(kStream, std::move(aData), [&](const AppendResult& aResult) {
      result = aResult;
      loop_.Stop();
    });
    RunUntilStopped();
    return result;
  }

  ReadResult Read(std::uint64_t aFrom, common::Duration aWait = {})
  {
    ReadResult result;
    log_.Read(kStream, Offset(aFrom), aWait, [&](const ReadResult& aResult) {
      result = aResult;
      loop_.Stop();
    });
    RunUntilStopped();
    return result;
  }

  void RunUntilStopped()
  {
    const auto guard = loop_.After(kDeadline, []() { FAIL("no callback"); });
    loop_.Run();
  }

  template<typename Change>
  void Behave(Change aChange)
  {
    standins::LogBehaviour behaviour = service_.GetBehaviour();
    aChange(behaviour);
    service_.SetBehaviour(behaviour);
  }

  common::EventLoop loop_;
  common::Counters counters_;
  standins::LogServer service_;
  HttpLog log_;
};

} // namespace

TEST_CASE("Records are read back in order with their offsets", "[platform][log]")
{
  Bench bench;
  CHECK(bench.Append("one").offset_ == Offset(1));
  CHECK(bench.Append("two").offset_ == Offset(2));
  const ReadResult result = bench.Read(1);
  CHECK(result.status_ == LogStatus::kOk);
  CHECK(result.records_ == std::vector<Record>{ { Offset(1), "one" }, { Offset(2), "two" } });
  CHECK(result.first_ == Offset(1));
  CHECK(result.next_ == Offset(3));
}

TEST_CASE("A waiting read is answered by the next append", "[platform][log]")
{
  Bench bench;
  ReadResult result;
  bench.log_.Read(kStream, Offset(1), kDeadline, [&](const ReadResult& aResult) {
    result = aResult;
    bench.loop_.Stop();
  });
  const auto append = bench.loop_.After(
    50ms, [&]() { bench.log_.Append(kStream, "late", [](const AppendResult&) {}); });
  bench.RunUntilStopped();
  CHECK(result.records_ == std::vector<Record>{ { Offset(1), "late" } });
}

TEST_CASE("An append whose answer is lost is unavailable and took effect", "[platform][log]")
{
  Bench bench;
  bench.Behave([](standins::LogBehaviour& aBehaviour) { aBehaviour.loseAnswers_ = 1; });
  CHECK(bench.Append("lost").status_ == LogStatus::kUnavailable);
  CHECK(bench.Read(1).records_ == std::vector<Record>{ { Offset(1), "lost" } });
  CHECK(bench.Append("next").offset_ == Offset(2));
}
