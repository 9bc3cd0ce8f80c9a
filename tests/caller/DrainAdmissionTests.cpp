#include "dandelionstand/caller/DrainAdmission.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace std::chrono_literals;

TEST_CASE("A rolling restart turns away only what might be cut", "[caller][drain]")
{
  // Clients that send ten requests a second with a deadline of 1.5 s, and go on for 5 s.
  constexpr common::Duration kDeadline = 1'500ms;
  constexpr common::Duration kEnd = 5'700ms;
  const common::TimePoint begin{ 100s };
  caller::DrainAdmission drain;
  CHECK(drain.Takes(begin + 1h, begin));
  drain.Start({ .acceptAllPeriod_ = 2'900ms, .drainPeriod_ = kEnd }, begin);
  int taken = 0;
  int refused = 0;
  for (common::Duration at{ 0 }; at < 5s; at += 100ms) {
    const bool takes = drain.Takes(begin + at + kDeadline, begin + at);
    // Whatever is taken ends by its deadline before the process does.
    CHECK((!takes || at + kDeadline <= kEnd));
    (takes ? taken : refused) += 1;
  }
  CHECK(taken == 43);
  CHECK(refused == 7);
}

TEST_CASE("A request with a long deadline is taken only while clients have not noticed the stop",
          "[caller][drain]")
{
  const common::TimePoint begin{ 100s };
  caller::DrainAdmission drain;
  drain.Start({ .acceptAllPeriod_ = 2'900ms, .drainPeriod_ = 5'700ms }, begin);
  CHECK(drain.Takes(begin + 7s, begin + 2'800ms));
  CHECK_FALSE(drain.Takes(begin + 7s, begin + 2'900ms));
}

TEST_CASE("A daemon that is about to end takes nothing", "[caller][drain]")
{
  const common::TimePoint begin{ 100s };
  caller::DrainAdmission drain;
  drain.Start({ .acceptAllPeriod_ = 2'900ms, .drainPeriod_ = 5'700ms }, begin);
  drain.Stop();
  CHECK_FALSE(drain.Takes(begin + 10ms, begin));
}
