#include "dandelionstand/caller/RetryBudget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace dandelionstand;
using namespace std::chrono_literals;

TEST_CASE("Retries stay within the ratio and the reserve", "[caller][budget]")
{
  const common::TimePoint now{ 1h };
  caller::RetryBudget budget({});
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.RecordCall(now);
    retries += budget.TrySpend(now) ? 1 : 0;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 110);
  CHECK_FALSE(budget.TrySpend(now + 900ms));
  CHECK(budget.TrySpend(now + 11s));
}

TEST_CASE("No window of ten seconds contains more retries than the ratio and the reserve allow",
          "[caller][budget]")
{
  const common::TimePoint start{ 1h };
  caller::RetryBudget budget({ .ratio_ = 0.2, .reserve_ = 3 });
  std::vector<common::TimePoint> retries;
  std::vector<common::TimePoint> calls;
  for (common::TimePoint now = start; now < start + 60s; now += 100ms) {
    budget.RecordCall(now);
    calls.push_back(now);
    if (budget.TrySpend(now)) {
      retries.push_back(now);
    }
  }
  const auto countInWindow = [](const std::vector<common::TimePoint>& aTimes,
                                common::TimePoint aEnd) {
    return std::count_if(aTimes.begin(), aTimes.end(), [&](common::TimePoint aTime) {
      return aTime <= aEnd && aTime > aEnd - 10s;
    });
  };
  for (const common::TimePoint end : retries) {
    // The platform may count the calls of the preceding window instead.
    const double maxCalls =
      static_cast<double>(std::max(countInWindow(calls, end), countInWindow(calls, end - 10s)));
    CHECK(static_cast<double>(countInWindow(retries, end)) <= 0.2 * maxCalls + 3 + 1);
  }
}

TEST_CASE("Daemons that restart in quick succession do not each spend the reserve",
          "[caller][budget]")
{
  const common::TimePoint start{ 1h };
  const caller::RetryBudgetSettings settings{ .ratio_ = 0.1, .reserve_ = 3, .reserveDelay_ = 10s };
  int retries = 0;
  for (int run = 0; run < 5; ++run) {
    caller::RetryBudget budget(settings);
    for (int call = 0; call < 20; ++call) {
      const common::TimePoint now = start + run * 2s + call * 50ms;
      budget.RecordCall(now);
      retries += budget.TrySpend(now) ? 1 : 0;
    }
  }
  CHECK(retries <= 10);
}

TEST_CASE("A period without failures accumulates at most one burst of retries", "[caller][budget]")
{
  const common::TimePoint start{ 1h };
  caller::RetryBudget budget({ .ratio_ = 0.1, .reserve_ = 10, .burst_ = 10 });
  for (int call = 0; call < 2000; ++call) {
    budget.RecordCall(start + call * 4ms);
  }
  int retries = 0;
  while (budget.TrySpend(start + 8s)) {
    ++retries;
  }
  CHECK(retries <= 10);
}
