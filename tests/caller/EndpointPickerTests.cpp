#include "dandelionstand/caller/EndpointPicker.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace dandelionstand::caller;
using namespace std::chrono_literals;

namespace {

const common::TimePoint kStart{ 1h };
constexpr std::uint64_t kSeed = 7;
const config::RouteName kRoute("browse");

Endpoint MakeEndpoint(const std::string& aName,
                      const std::string& aDomain,
                      const std::string& aRegion,
                      std::uint64_t aIncarnation = 1)
{
  return { common::InstanceId(aName),
           common::Incarnation(aIncarnation),
           common::Address("127.1.0.1:1"),
           common::FailureDomain(aDomain),
           common::Region(aRegion) };
}

EndpointPicker MakePicker(const std::vector<Endpoint>& aEndpoints)
{
  PickerSettings settings;
  settings.failureDomain_ = common::FailureDomain("d1");
  settings.region_ = common::Region("r1");
  settings.slots_ = 4;
  EndpointPicker picker(settings, kSeed);
  picker.SetEndpoints(aEndpoints, kStart - 1min);
  return picker;
}

const std::vector<Endpoint> kThreeTiers = { MakeEndpoint("near", "d1", "r1"),
                                            MakeEndpoint("middle", "d2", "r1"),
                                            MakeEndpoint("far", "d3", "r2") };

std::vector<Endpoint> MakeOneTier(int aCount)
{
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < aCount; ++i) {
    endpoints.push_back(MakeEndpoint("e" + std::to_string(i), "d1", "r1"));
  }
  return endpoints;
}

std::string PickName(EndpointPicker& aPicker, common::TimePoint aNow = kStart)
{
  const auto picked = aPicker.Pick({}, kRoute, aNow);
  return picked ? picked->instance_.Get() : "";
}

void Fail(EndpointPicker& aPicker,
          const std::string& aName,
          int aTimes,
          common::TimePoint aNow = kStart)
{
  for (int i = 0; i < aTimes; ++i) {
    aPicker.Started(common::InstanceId(aName), aNow);
    aPicker.Ended(common::InstanceId(aName), AttemptResult::kFailed, aNow);
  }
}

} // namespace

TEST_CASE("The own failure domain goes first and other regions last", "[caller][picker]")
{
  EndpointPicker picker = MakePicker(kThreeTiers);
  CHECK(PickName(picker) == "near");
  picker.Reported(common::InstanceId("near"), kRoute, { 4, 2, 4 }, kStart);
  CHECK(PickName(picker) == "middle");
  picker.Reported(common::InstanceId("middle"), kRoute, { 4, 0, 4 }, kStart);
  CHECK(PickName(picker) == "far");
  picker.Reported(common::InstanceId("far"), kRoute, { 4, 0, 4 }, kStart);
  CHECK(PickName(picker) == "near");
  CHECK(PickName(picker, kStart + 10s) == "near");
}

TEST_CASE("Own outstanding work spills before any report arrives", "[caller][picker]")
{
  EndpointPicker picker = MakePicker(kThreeTiers);
  for (int i = 0; i < 4; ++i) {
    picker.Started(common::InstanceId("near"), kStart);
  }
  CHECK(PickName(picker) == "middle");
  picker.Ended(common::InstanceId("near"), AttemptResult::kAnswered, kStart);
  CHECK(PickName(picker) == "near");
}

TEST_CASE("The less loaded of two random endpoints is chosen", "[caller][picker]")
{
  EndpointPicker picker = MakePicker(MakeOneTier(2));
  picker.Reported(common::InstanceId("e0"), kRoute, { 2, 0, 4 }, kStart);
  for (int i = 0; i < 20; ++i) {
    CHECK(PickName(picker) == "e1");
  }
}

TEST_CASE("An endpoint that was tried is not picked again", "[caller][picker]")
{
  EndpointPicker picker = MakePicker(MakeOneTier(2));
  CHECK(picker.Pick({ common::InstanceId("e0") }, kRoute, kStart)->instance_.Get() == "e1");
  CHECK_FALSE(picker.Pick({ common::InstanceId("e0"), common::InstanceId("e1") }, kRoute, kStart));
}

TEST_CASE("Failing endpoints are ejected up to the ceiling and come back", "[caller][picker]")
{
  EndpointPicker picker = MakePicker(MakeOneTier(4));
  Fail(picker, "e0", 3);
  Fail(picker, "e1", 3);
  Fail(picker, "e2", 3);
  CHECK(picker.Ejected(kStart) == 2);
  for (int i = 0; i < 20; ++i) {
    const std::string name = PickName(picker);
    CHECK((name == "e2" || name == "e3"));
  }
  CHECK(picker.Ejected(kStart + 2s) == 0);
  // The second ejection in a row lasts twice as long.
  Fail(picker, "e0", 3, kStart + 2s);
  CHECK(picker.Ejected(kStart + 5s) == 1);
  CHECK(picker.Ejected(kStart + 6s) == 0);
}

TEST_CASE("An endpoint that is silent with work under way is avoided", "[caller][picker]")
{
  EndpointPicker picker = MakePicker(MakeOneTier(2));
  picker.Started(common::InstanceId("e0"), kStart);
  picker.Started(common::InstanceId("e1"), kStart + 900ms);
  picker.Started(common::InstanceId("e1"), kStart + 900ms);
  CHECK(PickName(picker, kStart + 900ms) == "e0");
  CHECK(PickName(picker, kStart + 1s) == "e1");
  picker.Progressed(common::InstanceId("e0"), kStart + 1s);
  CHECK(PickName(picker, kStart + 1s) == "e0");
}

TEST_CASE("A new incarnation starts slowly", "[caller][picker]")
{
  EndpointPicker picker = MakePicker(MakeOneTier(2));
  auto endpoints = MakeOneTier(2);
  endpoints[0].incarnation_ = common::Incarnation(2);
  picker.SetEndpoints(endpoints, kStart);
  picker.Started(common::InstanceId("e0"), kStart);
  picker.Started(common::InstanceId("e1"), kStart);
  CHECK(picker.LoadOf(common::InstanceId("e0"), kStart) > 2.0);
  CHECK(picker.LoadOf(common::InstanceId("e0"), kStart + 5s) == 0.25);
  CHECK(picker.LoadOf(common::InstanceId("e1"), kStart) == 0.25);
}

namespace {

//! Plays two domains of one region, in which the near endpoint takes aNear and the other one aOther
//! for a request; each caller's request waits for its answer. Returns the share sent to the other.
double ShareOfOther(EndpointPicker& aPicker,
                    common::Duration aNear,
                    common::Duration aOther,
                    common::TimePoint aStart = kStart)
{
  int others = 0;
  constexpr int kRequests = 200;
  common::TimePoint now = aStart;
  for (int request = 0; request < kRequests; ++request, now += 50ms) {
    const common::InstanceId picked = aPicker.Pick({}, kRoute, now)->instance_;
    const bool isOther = picked.Get() == "middle";
    others += isOther ? 1 : 0;
    aPicker.Started(picked, now);
    aPicker.Reported(picked, kRoute, { 1, 0, 18, isOther ? aOther : aNear }, now);
    aPicker.Ended(picked, AttemptResult::kAnswered, now);
  }
  return static_cast<double>(others) / kRequests;
}

const std::vector<Endpoint> kTwoDomains = { MakeEndpoint("near", "d1", "r1"),
                                            MakeEndpoint("middle", "d2", "r1") };

} // namespace

TEST_CASE("Endpoints that differ in speed get the requests that they answer sooner",
          "[caller][picker][replay]")
{
  EndpointPicker picker = MakePicker(kTwoDomains);
  SECTION("a near one of half the speed is left, but looked at again")
  {
    CHECK(ShareOfOther(picker, 340ms, 140ms) > 0.95);
    CHECK(ShareOfOther(picker, 100ms, 140ms, kStart + 30s) < 0.1);
  }
  SECTION("a near one that is as fast is kept")
  {
    CHECK(ShareOfOther(picker, 140ms, 140ms) < 0.05);
  }
  SECTION("large answers stay in the domain")
  {
    picker.AnswerSize(kRoute, 90UL * 1024);
    CHECK(ShareOfOther(picker, 340ms, 140ms) == 0.0);
  }
}

TEST_CASE("An endpoint of which nothing is known is tried with one request",
          "[caller][picker][replay]")
{
  EndpointPicker picker = MakePicker(kTwoDomains);
  picker.Reported(common::InstanceId("near"), kRoute, { 1, 0, 18, 200ms }, kStart);
  CHECK(PickName(picker) == "middle");
  picker.Started(common::InstanceId("middle"), kStart);
  CHECK(PickName(picker) == "near");
}

TEST_CASE("An endpoint that fails part of its requests gets fewer, and is tried again later",
          "[caller][picker][replay]")
{
  EndpointPicker picker = MakePicker(kTwoDomains);
  for (const char* name : { "near", "middle" }) {
    picker.Reported(common::InstanceId(name), kRoute, { 1, 0, 18, 100ms }, kStart);
  }
  CHECK(PickName(picker) == "near");
  for (int request = 0; request < 10; ++request) {
    const bool isShed = request % 2 == 0;
    picker.Started(common::InstanceId("near"), kStart);
    picker.Ended(
      common::InstanceId("near"), isShed ? AttemptResult::kShed : AttemptResult::kAnswered, kStart);
  }
  CHECK(PickName(picker) == "middle");
  for (const char* name : { "near", "middle" }) {
    picker.Reported(common::InstanceId(name), kRoute, { 1, 0, 18, 100ms }, kStart + 20s);
  }
  CHECK(PickName(picker, kStart + 20s) == "near");
}

TEST_CASE(
  "Without a slow start a daemon that restarted beside a warm endpoint has its share at once",
  "[caller][picker][replay]")
{
  // A rolling restart: the near daemon is new, the load on it is the usual one.
  const auto pick = [](common::Duration aSlowStart) {
    PickerSettings settings;
    settings.failureDomain_ = common::FailureDomain("d1");
    settings.region_ = common::Region("r1");
    settings.slowStartPeriod_ = aSlowStart;
    EndpointPicker picker(settings, kSeed);
    picker.SetEndpoints(kTwoDomains, kStart);
    for (const char* name : { "near", "middle" }) {
      picker.Reported(common::InstanceId(name), kRoute, { 4, 0, 18, 200ms }, kStart);
    }
    picker.SetEndpoints({ MakeEndpoint("near", "d1", "r1", 2), kTwoDomains[1] }, kStart + 10s);
    picker.Reported(common::InstanceId("near"), kRoute, { 4, 0, 18, 200ms }, kStart + 10s);
    return PickName(picker, kStart + 10s);
  };
  CHECK(pick(5s) == "middle");
  CHECK(pick(0s) == "near");
}
