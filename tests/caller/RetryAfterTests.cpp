#include "dandelionstand/caller/RetryAfter.h"

#include <catch2/catch.hpp>

#include <array>

using namespace dandelionstand;
using namespace std::chrono_literals;

TEST_CASE(
  "Retries of a burst of refused callers are spread over one to two times the time to capacity",
  "[caller][refusal]")
{
  std::mt19937_64 random(1);
  std::array<int, 10> histogram{};
  constexpr int kCallers = 1000;
  for (int caller = 0; caller < kCallers; ++caller) {
    const common::Duration retryAfter = caller::RetryAfter({ "queue-full", 200ms }, random);
    REQUIRE(retryAfter >= 200ms);
    REQUIRE(retryAfter <= 400ms);
    ++histogram.at(std::min<std::size_t>(9, static_cast<std::size_t>((retryAfter - 200ms) / 20ms)));
  }
  for (const int count : histogram) {
    CHECK(count < kCallers / 5);
  }
}

TEST_CASE("Callers refused by a draining daemon retry within 20 ms", "[caller][refusal]")
{
  std::mt19937_64 random(1);
  CHECK(caller::RetryAfter({ "daemon-draining", 5s }, random) <= 20ms);
}

TEST_CASE("The retry delay is bounded for very long and unknown times to capacity",
          "[caller][refusal]")
{
  std::mt19937_64 random(1);
  CHECK(caller::RetryAfter({ "queue-full", 60s }, random) <= 1s);
  CHECK(caller::RetryAfter({ "no-endpoint", 0s }, random) >= 50ms);
}
