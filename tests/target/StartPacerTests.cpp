#include "dandelionstand/target/StartPacer.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using dandelionstand::target::StartPacer;
using namespace std::chrono_literals;

namespace {

constexpr common::TimePoint kStart{ 1h };

//! Starts as often as the pacer allows and returns the number of starts.
int CountStarts(StartPacer& aPacer, common::TimePoint aFrom, common::TimePoint aUntil)
{
  int starts = 0;
  for (common::TimePoint now = aFrom; now < aUntil; now += 1ms) {
    while (aPacer.CanStart(now)) {
      aPacer.RecordStart(now);
      ++starts;
    }
  }
  return starts;
}

} // namespace

TEST_CASE("Without a rate a pacer allows every start at once", "[target][pacer]")
{
  StartPacer pacer;
  for (int start = 0; start < 1000; ++start) {
    REQUIRE(pacer.CanStart(kStart));
    pacer.RecordStart(kStart);
  }
  CHECK(pacer.TimeToStart(1000, kStart) == 0ms);
}

TEST_CASE("Starts in any four seconds stay within the rate and a burst of a quarter of a second",
          "[target][pacer]")
{
  const double rate = GENERATE(0.3, 1.0, 9.0, 24.3, 400.0);
  INFO("rate " << rate);
  StartPacer pacer;
  pacer.SetRate(rate, kStart);
  SECTION("while there is work all the time")
  {
    const int starts = CountStarts(pacer, kStart, kStart + 4s);
    CHECK(starts <= rate * 4 + 1e-3);
    CHECK(starts >= rate * 4 - 1.001);
  }
  SECTION("after a time without work")
  {
    const int starts = CountStarts(pacer, kStart + 60s, kStart + 64s);
    CHECK(starts <= rate * 4 + std::max(1.0, rate / 4) + 1e-3);
  }
}

TEST_CASE("A new rate applies at once and does not add starts", "[target][pacer]")
{
  StartPacer pacer;
  pacer.SetRate(40, kStart);
  SECTION("it falls")
  {
    pacer.SetRate(4, kStart + 10s);
    CHECK(CountStarts(pacer, kStart + 10s, kStart + 14s) <= 17);
  }
  SECTION("it rises")
  {
    CountStarts(pacer, kStart, kStart + 1s);
    pacer.SetRate(80, kStart + 1s);
    CHECK(CountStarts(pacer, kStart + 1s, kStart + 2s) == Approx(80).margin(2));
  }
  SECTION("it is repeated by each answer")
  {
    int starts = 0;
    for (common::TimePoint now = kStart; now < kStart + 4s; now += 5ms) {
      pacer.SetRate(40, now);
      starts += CountStarts(pacer, now, now + 5ms);
    }
    CHECK(starts == Approx(160).margin(2));
  }
  SECTION("it ends")
  {
    pacer.SetRate(std::nullopt, kStart);
    CHECK(pacer.CanStart(kStart));
    CHECK_FALSE(pacer.Rate());
  }
}

TEST_CASE("At a limit of 0 a start every four seconds remains, to notice the end of the limit",
          "[target][pacer]")
{
  StartPacer pacer;
  pacer.SetRate(0, kStart);
  CHECK(CountStarts(pacer, kStart, kStart + 40s + 1ms) == 10);
}

TEST_CASE("The time to start counts the work ahead", "[target][pacer]")
{
  StartPacer pacer;
  pacer.SetRate(10, kStart);
  CHECK(pacer.TimeToStart(0, kStart) == 100ms);
  CHECK(pacer.TimeToStart(4, kStart) == 500ms);
  CHECK(pacer.TimeToStart(0, kStart + 1s) == 0ms);
}
