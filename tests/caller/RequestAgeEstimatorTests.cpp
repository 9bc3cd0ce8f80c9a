#include "dandelionstand/caller/RequestAgeEstimator.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace std::chrono_literals;

TEST_CASE("A caller that comes back has used the time that it lacks", "[caller][ages]")
{
  caller::RequestAgeEstimator ages;
  const config::RouteName route("r");
  const common::TimePoint now{ 1h };
  CHECK(ages.EstimateAge(route, 1500ms, now) == 0ms);
  CHECK(ages.EstimateAge(route, 1100ms, now) == 400ms);
  CHECK(ages.EstimateAge(config::RouteName("other"), 1100ms, now) == 0ms);
  CHECK(ages.EstimateAge(route, 1100ms, now + 11s) == 0ms);
}
