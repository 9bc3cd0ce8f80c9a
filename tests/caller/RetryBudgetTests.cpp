#include "dandelionstand/caller/RetryBudget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace dandelionstand;
using namespace std::chrono_literals;

TEST_CASE("Retries stay within their share of the calls", "[caller][budget]")
{
  const common::TimePoint now{ 1h };
  caller::RetryBudget budget({});
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.AddCall(now);
    retries += budget.Spend(now) ? 1 : 0;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 110);
  CHECK_FALSE(budget.Spend(now + 900ms));
  CHECK(budget.Spend(now + 11s));
}

TEST_CASE("No window of any ten seconds holds more retries than its share", "[caller][budget]")
{
  const common::TimePoint start{ 1h };
  caller::RetryBudget budget({ .ratio_ = 0.2, .reserve_ = 3 });
  std::vector<common::TimePoint> retries;
  std::vector<common::TimePoint> calls;
  for (common::TimePoint now = start; now < start + 60s; now += 100ms) {
    budget.AddCall(now);
    calls.push_back(now);
    if (budget.Spend(now)) {
      retries.push_back(now);
    }
  }
  const auto within = [](const std::vector<common::TimePoint>& aTimes, common::TimePoint aEnd) {
    return std::count_if(aTimes.begin(), aTimes.end(), [&](common::TimePoint aTime) {
      return aTime <= aEnd && aTime > aEnd - 10s;
    });
  };
  for (const common::TimePoint end : retries) {
    // The requests of the window before it may be counted instead, as the platform does.
    const double most = static_cast<double>(std::max(within(calls, end), within(calls, end - 10s)));
    CHECK(static_cast<double>(within(retries, end)) <= 0.2 * most + 3 + 1);
  }
}

TEST_CASE("Daemons that start again in a wave do not each spend a reserve", "[caller][budget]")
{
  const common::TimePoint start{ 1h };
  const caller::RetryBudgetSettings settings{ .ratio_ = 0.1, .reserve_ = 3, .reserveDelay_ = 10s };
  int retries = 0;
  for (int life = 0; life < 5; ++life) {
    caller::RetryBudget budget(settings);
    for (int call = 0; call < 20; ++call) {
      const common::TimePoint now = start + life * 2s + call * 50ms;
      budget.AddCall(now);
      retries += budget.Spend(now) ? 1 : 0;
    }
  }
  CHECK(retries <= 10);
}

TEST_CASE("A time without failures saves up one burst of retries at most", "[caller][budget]")
{
  const common::TimePoint start{ 1h };
  caller::RetryBudget budget({ .ratio_ = 0.1, .reserve_ = 10, .burst_ = 10 });
  for (int call = 0; call < 2000; ++call) {
    budget.AddCall(start + call * 4ms);
  }
  int retries = 0;
  while (budget.Spend(start + 8s)) {
    ++retries;
  }
  CHECK(retries <= 10);
}
