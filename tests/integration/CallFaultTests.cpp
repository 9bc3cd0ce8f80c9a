#include "CallFleet.h"

#include "tests/support/Wait.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace dandelionstand;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

//! Result of RunLoad().
struct LoadResult
{
  std::uint64_t answered_ = 0; //!< Calls answered with 200.
  std::uint64_t calls_ = 0;
};

//! Calls a daemon for aDuration from aCallers threads, each of which calls again as soon as it is
//! answered.
LoadResult RunLoad(const FleetInstance& aInstance,
                   const std::string& aPath,
                   int aCallers,
                   std::chrono::milliseconds aDuration)
{
  std::atomic<std::uint64_t> answered = 0;
  std::atomic<std::uint64_t> calls = 0;
  std::vector<std::thread> threads;
  const auto loadEnd = Clock::now() + aDuration;
  for (int i = 0; i < aCallers; ++i) {
    threads.emplace_back([&] {
      while (Clock::now() < loadEnd) {
        ++calls;
        const HttpReply reply = aInstance.Get(aPath);
        answered += reply.status_ == 200 ? 1 : 0;
        if (reply.status_ != 200) {
          std::this_thread::sleep_for(5ms);
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return { answered, calls };
}

std::uint64_t CountAttempts(Fleet& aFleet)
{
  std::uint64_t attempts = 0;
  for (FleetInstance& instance : aFleet) {
    attempts += instance.Metric("dandelion_caller_attempts_total");
  }
  return attempts;
}

} // namespace

TEST_CASE(
  "A failure domain that is cut off serves browse and download calls and refuses orders as not run",
  "[integration][calls][cutoff]")
{
  CallFleet calls(2, 2);
  Fleet& fleet = calls.fleet_;
  REQUIRE(SendOrder(fleet[0], "before").status_ == 200);
  fleet.GetFaultProxy().CutDomain(fleet[0].Domain());
  for (int round = 0; round < 10; ++round) {
    for (const std::size_t index : { 0, 1 }) {
      CHECK(fleet[index].Get("/browse").status_ == 200);
      const HttpReply file = fleet[index].Get("/files?pattern=1&bytes=1000000");
      CHECK(file.body_.size() == 1'000'000);
      const std::string key = "cut-" + std::to_string(round) + "-" + std::to_string(index);
      const auto begin = Clock::now();
      CHECK(RunStateOf(SendOrder(fleet[index], key)) == "not-run");
      CHECK(Clock::now() - begin < 1500ms);
      CHECK(calls.CountRunsByKey(key) == 0);
    }
  }
  fleet.GetFaultProxy().HealDomain(fleet[0].Domain());
  CHECK(WaitUntil([&] { return SendOrder(fleet[0], "healed").status_ == 200; }, 5s));
  CHECK(calls.CountRunsByKey("healed") == 1);
}

TEST_CASE("A target that hangs while its health check passes gets almost no calls",
          "[integration][calls][faults]")
{
  CallFleet calls(1, 4);
  Fleet& fleet = calls.fleet_;
  fleet[1].ControlTarget({ { "hang", true }, { "health_misleads", true } });
  const LoadResult duringDetection = RunLoad(fleet[0], "/browse", 8, 3s);
  // All calls are idempotent, so another endpoint answers them.
  CHECK(duringDetection.answered_ == duringDetection.calls_);
  const std::uint64_t requestsBefore =
    HttpGet(fleet[1].Addresses().target_, "/stats").Json()["requests"].get<std::uint64_t>();
  const LoadResult afterEjection = RunLoad(fleet[0], "/browse", 8, 2s);
  const std::uint64_t requestsAfter =
    HttpGet(fleet[1].Addresses().target_, "/stats").Json()["requests"].get<std::uint64_t>();
  CHECK(afterEjection.answered_ == afterEjection.calls_);
  CHECK(afterEjection.calls_ > 500);
  CHECK((requestsAfter - requestsBefore) * 50 < afterEjection.calls_);
}

TEST_CASE("Goodput holds under four times the load without a retry storm",
          "[integration][calls][overload]")
{
  constexpr std::uint32_t kSlots = 4;
  CallFleet calls(1, 2, kSlots);
  Fleet& fleet = calls.fleet_;
  for (FleetInstance& instance : fleet) {
    instance.ControlTarget({ { "think_ms", 20 }, { "slots", kSlots }, { "load_misleads", true } });
  }
  // Outlasts the cold start of the targets.
  RunLoad(fleet[0], "/browse", 2 * static_cast<int>(kSlots), 6s);
  std::uint64_t maxAnswered = 0;
  for (const int factor : { 1, 2, 4 }) {
    const int callers = factor * 2 * static_cast<int>(kSlots);
    const std::uint64_t attemptsBefore = CountAttempts(fleet);
    const LoadResult result = RunLoad(fleet[0], "/browse", callers, 3s);
    const std::uint64_t attempts = CountAttempts(fleet) - attemptsBefore;
    WARN("callers " << callers << ": answered " << result.answered_ << " of " << result.calls_
                    << ", attempts " << attempts);
    maxAnswered = std::max(maxAnswered, result.answered_);
    CHECK(result.answered_ * 10 >= maxAnswered * 9);
    CHECK(attempts * 10 <= result.calls_ * 11 + 100);
  }
}
