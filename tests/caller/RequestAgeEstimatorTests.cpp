#include "dandelionstand/caller/RequestAgeEstimator.h"

#include <catch2/catch.hpp>

#include <random>

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

TEST_CASE("First tries of callers whose time-outs vary are not taken for retries", "[caller][ages]")
{
  caller::RequestAgeEstimator estimator;
  const config::RouteName route("r");
  common::TimePoint now{ 1h };
  std::mt19937_64 random(5);
  // The users' callers wait for 85 to 100 in 100 of the route's 3 s.
  std::uniform_int_distribution<int> timeoutMs(2550, 3000);
  common::Duration totalAge{ 0 };
  constexpr int kRequests = 400;
  for (int request = 0; request < 2 * kRequests; ++request) {
    now += 10ms;
    const common::Duration age =
      estimator.EstimateAge(route, std::chrono::milliseconds(timeoutMs(random)), now);
    totalAge += request < kRequests ? 0ms : age;
  }
  CHECK(totalAge / kRequests < 30ms);
  // A retry after a second, as opposed to a short time-out.
  const common::Duration retryAge = estimator.EstimateAge(route, 1800ms, now);
  CHECK(retryAge >= 700ms);
  CHECK(retryAge <= 1200ms);
}

TEST_CASE("Where all callers have one time-out, quick retries keep most of their age",
          "[caller][ages]")
{
  caller::RequestAgeEstimator estimator;
  const config::RouteName route("r");
  common::TimePoint now{ 1h };
  common::Duration retryAge{ 0 };
  for (int request = 0; request < 400; ++request) {
    now += 10ms;
    // One request in five is a retry after 200 ms.
    const bool isRetry = request % 5 == 4;
    const common::Duration age = estimator.EstimateAge(route, isRetry ? 1300ms : 1500ms, now);
    retryAge = isRetry ? age : retryAge;
  }
  CHECK(retryAge >= 100ms);
}
