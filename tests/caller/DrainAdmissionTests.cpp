#include "dandelionstand/caller/DrainAdmission.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace std::chrono_literals;

TEST_CASE("A stopping daemon refuses only requests that may outlast the process", "[caller][drain]")
{
  // A rolling restart: clients send 10 requests/s with a deadline of 1.5 s, for 5 s after the stop
  // begins.
  constexpr common::Duration kDeadline = 1'500ms;
  constexpr common::Duration kDrainPeriod = 5'700ms;
  const common::TimePoint start{ 100s };
  caller::DrainAdmission drain;
  CHECK(drain.Admits(start + 1h, start));
  drain.Start({ .acceptAllPeriod_ = 2'900ms, .drainPeriod_ = kDrainPeriod }, start);
  int admitted = 0;
  int refused = 0;
  for (common::Duration sentAt{ 0 }; sentAt < 5s; sentAt += 100ms) {
    const bool isAdmitted = drain.Admits(start + sentAt + kDeadline, start + sentAt);
    // The deadline of an accepted request lies before the end of the process.
    CHECK((!isAdmitted || sentAt + kDeadline <= kDrainPeriod));
    (isAdmitted ? admitted : refused) += 1;
  }
  CHECK(admitted == 43);
  CHECK(refused == 7);
}

TEST_CASE("A request with a deadline after the end of the process is accepted only in the "
          "accept-all period",
          "[caller][drain]")
{
  const common::TimePoint start{ 100s };
  caller::DrainAdmission drain;
  drain.Start({ .acceptAllPeriod_ = 2'900ms, .drainPeriod_ = 5'700ms }, start);
  CHECK(drain.Admits(start + 7s, start + 2'800ms));
  CHECK_FALSE(drain.Admits(start + 7s, start + 2'900ms));
}

TEST_CASE("No request is accepted after Stop", "[caller][drain]")
{
  const common::TimePoint start{ 100s };
  caller::DrainAdmission drain;
  drain.Start({ .acceptAllPeriod_ = 2'900ms, .drainPeriod_ = 5'700ms }, start);
  drain.Stop();
  CHECK_FALSE(drain.Admits(start + 10ms, start));
}
