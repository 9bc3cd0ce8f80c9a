#include "dandelionstand/caller/RequestAgeEstimator.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace std::chrono_literals;

TEST_CASE(
  "The age of a request is its difference to the longest recent remaining time on its route",
  "[caller][ages]")
{
  caller::RequestAgeEstimator estimator;
  const config::RouteName route("r");
  const common::TimePoint now{ 1h };
  CHECK(estimator.EstimateAge(route, 1500ms, now) == 0ms);
  CHECK(estimator.EstimateAge(route, 1100ms, now) == 400ms);
  CHECK(estimator.EstimateAge(config::RouteName("other"), 1100ms, now) == 0ms);
  CHECK(estimator.EstimateAge(route, 1100ms, now + 11s) == 0ms);
}
