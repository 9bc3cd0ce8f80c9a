#include "dandelionstand/caller/RetryAfter.h"

#include <catch2/catch.hpp>

#include <array>

using namespace dandelionstand;
using namespace std::chrono_literals;

TEST_CASE("A burst of refused callers comes back spread over the time in which room appears",
          "[caller][refusal]")
{
  std::mt19937_64 random(1);
  std::array<int, 10> tenths{};
  constexpr int kCallers = 1000;
  for (int caller = 0; caller < kCallers; ++caller) {
    const common::Duration after = caller::RetryAfter({ "queue-full", 200ms }, random);
    REQUIRE(after >= 200ms);
    REQUIRE(after <= 400ms);
    ++tenths.at(std::min<std::size_t>(9, static_cast<std::size_t>((after - 200ms) / 20ms)));
  }
  for (const int count : tenths) {
    CHECK(count < kCallers / 5);
  }
}

TEST_CASE("A caller of a daemon that stops goes elsewhere at once", "[caller][refusal]")
{
  std::mt19937_64 random(1);
  CHECK(caller::RetryAfter({ "daemon-draining", 5s }, random) <= 20ms);
}

TEST_CASE("A caller is not sent away for longer than it has", "[caller][refusal]")
{
  std::mt19937_64 random(1);
  CHECK(caller::RetryAfter({ "queue-full", 60s }, random) <= 1s);
  CHECK(caller::RetryAfter({ "no-endpoint", 0s }, random) >= 50ms);
}
