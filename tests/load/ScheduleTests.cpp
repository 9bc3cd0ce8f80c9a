#include "dandelionstand/load/Schedule.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::load;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 7;
constexpr std::uint64_t kNoCallLimit = 1'000'000;

std::vector<Arrival> CollectArrivals(Schedule aSchedule)
{
  std::vector<Arrival> arrivals;
  while (const auto arrival = aSchedule.Next()) {
    arrivals.push_back(*arrival);
  }
  return arrivals;
}

} // namespace

TEST_CASE("A schedule follows the rate of each step and ends with the last step",
          "[load][schedule]")
{
  const std::vector<RateStep> steps = { { 100, 10s }, { 0, 1s }, { 1000, 10s } };
  const std::vector<Arrival> arrivals = CollectArrivals(Schedule(steps, kNoCallLimit, kSeed));

  std::vector<std::size_t> counts(steps.size());
  for (const Arrival& arrival : arrivals) {
    counts[arrival.step_] += 1;
  }
  CHECK(counts[0] == Approx(1000).epsilon(0.15));
  CHECK(counts[1] == 0);
  CHECK(counts[2] == Approx(10'000).epsilon(0.05));
  CHECK(arrivals.back().timeSinceStart_ < 21s);
  CHECK(Schedule(steps, kNoCallLimit, kSeed).TotalDuration() == 21s);
}

TEST_CASE("Arrival times never decrease and are the same for the same seed", "[load][schedule]")
{
  const std::vector<RateStep> steps = { { 500, 2s }, { 50, 2s } };
  const std::vector<Arrival> first = CollectArrivals(Schedule(steps, kNoCallLimit, kSeed));
  const std::vector<Arrival> second = CollectArrivals(Schedule(steps, kNoCallLimit, kSeed));

  REQUIRE(first.size() == second.size());
  for (std::size_t index = 1; index < first.size(); ++index) {
    CHECK(first[index].timeSinceStart_ >= first[index - 1].timeSinceStart_);
    CHECK(first[index].timeSinceStart_ == second[index].timeSinceStart_);
  }
}

TEST_CASE("A schedule stops at the maximum number of calls", "[load][schedule]")
{
  CHECK(CollectArrivals(Schedule({ { 1000, 10s } }, 25, kSeed)).size() == 25);
}
