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

//! Answers and attempts of a number of callers that call as fast as they are answered.
struct LoadResult
{
  std::uint64_t answered_ = 0;
  std::uint64_t calls_ = 0;
};

//! Calls a daemon from aCallers threads for aTime.
LoadResult RunLoad(const FleetInstance& aInstance,
                   const std::string& aPath,
                   int aCallers,
                   std::chrono::milliseconds aTime)
{
  std::atomic<std::uint64_t> answered = 0;
  std::atomic<std::uint64_t> calls = 0;
  std::vector<std::thread> threads;
  const auto end = Clock::now() + aTime;
  for (int i = 0; i < aCallers; ++i) {
    threads.emplace_back([&] {
      while (Clock::now() < end) {
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

std::uint64_t Attempts(Fleet& aFleet)
{
  std::uint64_t attempts = 0;
  for (FleetInstance& instance : aFleet) {
    attempts += instance.Metric("dandelion_caller_attempts_total");
  }
  return attempts;
}

} // namespace

TEST_CASE("A failure domain that is cut off serves what it can and refuses orders truthfully",
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
      CHECK(calls.RunsOfKey(key) == 0);
    }
  }
  fleet.GetFaultProxy().HealDomain(fleet[0].Domain());
  CHECK(WaitUntil([&] { return SendOrder(fleet[0], "healed").status_ == 200; }, 5s));
  CHECK(calls.RunsOfKey("healed") == 1);
}

TEST_CASE("A target that hangs while its health says fine is left", "[integration][calls][faults]")
{
  CallFleet calls(1, 4);
  Fleet& fleet = calls.fleet_;
  fleet[1].ControlTarget({ { "hang", true }, { "health_misleads", true } });
  const LoadResult early = RunLoad(fleet[0], "/browse", 8, 3s);
  // Every call is idempotent, so it is answered by another endpoint.
  CHECK(early.answered_ == early.calls_);
  const std::uint64_t before =
    HttpGet(fleet[1].Addresses().target_, "/stats").Json()["requests"].get<std::uint64_t>();
  const LoadResult late = RunLoad(fleet[0], "/browse", 8, 2s);
  const std::uint64_t after =
    HttpGet(fleet[1].Addresses().target_, "/stats").Json()["requests"].get<std::uint64_t>();
  CHECK(late.answered_ == late.calls_);
  CHECK(late.calls_ > 500);
  CHECK((after - before) * 50 < late.calls_);
}

TEST_CASE("Goodput holds under four times the load, without a storm of retries",
          "[integration][calls][overload]")
{
  constexpr std::uint32_t kSlots = 4;
  CallFleet calls(1, 2, kSlots);
  Fleet& fleet = calls.fleet_;
  for (FleetInstance& instance : fleet) {
    instance.ControlTarget({ { "think_ms", 20 }, { "slots", kSlots }, { "load_misleads", true } });
  }
  // Past the cold start of the targets.
  RunLoad(fleet[0], "/browse", 2 * static_cast<int>(kSlots), 6s);
  std::uint64_t most = 0;
  for (const int factor : { 1, 2, 4 }) {
    const int callers = factor * 2 * static_cast<int>(kSlots);
    const std::uint64_t before = Attempts(fleet);
    const LoadResult result = RunLoad(fleet[0], "/browse", callers, 3s);
    const std::uint64_t attempts = Attempts(fleet) - before;
    WARN("callers " << callers << ": answered " << result.answered_ << " of " << result.calls_
                    << ", attempts " << attempts);
    most = std::max(most, result.answered_);
    CHECK(result.answered_ * 10 >= most * 9);
    CHECK(attempts * 10 <= result.calls_ * 11 + 100);
  }
}
