#include "dandelionstand/caller/RetryBudget.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace std::chrono_literals;

TEST_CASE("Retries stay within their share of the calls", "[caller][budget]")
{
  const common::TimePoint now{ 1h };
  caller::RetryBudget budget(10);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.AddCall(now);
    retries += budget.Spend(now) ? 1 : 0;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 110);
  CHECK(budget.Spend(now + 1s));
}
