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

void FailAttempts(EndpointPicker& aPicker,
                  const std::string& aName,
                  int aTimes,
                  common::TimePoint aNow = kStart)
{
  for (int i = 0; i < aTimes; ++i) {
    aPicker.OnAttemptStarted(common::InstanceId(aName), aNow);
    aPicker.OnAttemptEnded(common::InstanceId(aName), AttemptResult::kFailed, aNow);
  }
}

} // namespace

TEST_CASE("Endpoints in the same failure domain are preferred and those in other regions come last",
          "[caller][picker]")
{
  EndpointPicker picker = MakePicker(kThreeTiers);
  CHECK(PickName(picker) == "near");
  picker.OnLoadReport(common::InstanceId("near"), kRoute, { 4, 2, 4 }, kStart);
  CHECK(PickName(picker) == "middle");
  picker.OnLoadReport(common::InstanceId("middle"), kRoute, { 4, 0, 4 }, kStart);
  CHECK(PickName(picker) == "far");
  picker.OnLoadReport(common::InstanceId("far"), kRoute, { 4, 0, 4 }, kStart);
  CHECK(PickName(picker) == "near");
  CHECK(PickName(picker, kStart + 10s) == "near");
}

TEST_CASE("Outstanding requests count as load before an endpoint has reported its load",
          "[caller][picker]")
{
  EndpointPicker picker = MakePicker(kThreeTiers);
  for (int i = 0; i < 4; ++i) {
    picker.OnAttemptStarted(common::InstanceId("near"), kStart);
  }
  CHECK(PickName(picker) == "middle");
  picker.OnAttemptEnded(common::InstanceId("near"), AttemptResult::kAnswered, kStart);
  CHECK(PickName(picker) == "near");
}

TEST_CASE("The less loaded of two random endpoints is chosen", "[caller][picker]")
{
  EndpointPicker picker = MakePicker(MakeOneTier(2));
  picker.OnLoadReport(common::InstanceId("e0"), kRoute, { 2, 0, 4 }, kStart);
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

TEST_CASE(
  "Failing endpoints are ejected up to the maximum share and return after the ejection period",
  "[caller][picker]")
{
  EndpointPicker picker = MakePicker(MakeOneTier(4));
  FailAttempts(picker, "e0", 3);
  FailAttempts(picker, "e1", 3);
  FailAttempts(picker, "e2", 3);
  CHECK(picker.EjectedCount(kStart) == 2);
  for (int i = 0; i < 20; ++i) {
    const std::string name = PickName(picker);
    CHECK((name == "e2" || name == "e3"));
  }
  CHECK(picker.EjectedCount(kStart + 2s) == 0);
  // The second ejection in a row lasts twice as long.
  FailAttempts(picker, "e0", 3, kStart + 2s);
  CHECK(picker.EjectedCount(kStart + 5s) == 1);
  CHECK(picker.EjectedCount(kStart + 6s) == 0);
}

TEST_CASE("An endpoint without progress on its outstanding requests is avoided", "[caller][picker]")
{
  EndpointPicker picker = MakePicker(MakeOneTier(2));
  picker.OnAttemptStarted(common::InstanceId("e0"), kStart);
  picker.OnAttemptStarted(common::InstanceId("e1"), kStart + 900ms);
  picker.OnAttemptStarted(common::InstanceId("e1"), kStart + 900ms);
  CHECK(PickName(picker, kStart + 900ms) == "e0");
  CHECK(PickName(picker, kStart + 1s) == "e1");
  picker.OnAttemptProgress(common::InstanceId("e0"), kStart + 1s);
  CHECK(PickName(picker, kStart + 1s) == "e0");
}

TEST_CASE("A new incarnation of an endpoint begins with a slow start", "[caller][picker]")
{
  EndpointPicker picker = MakePicker(MakeOneTier(2));
  auto endpoints = MakeOneTier(2);
  endpoints[0].incarnation_ = common::Incarnation(2);
  picker.SetEndpoints(endpoints, kStart);
  picker.OnAttemptStarted(common::InstanceId("e0"), kStart);
  picker.OnAttemptStarted(common::InstanceId("e1"), kStart);
  CHECK(picker.RelativeLoadOf(common::InstanceId("e0"), kStart) > 2.0);
  CHECK(picker.RelativeLoadOf(common::InstanceId("e0"), kStart + 5s) == 0.25);
  CHECK(picker.RelativeLoadOf(common::InstanceId("e1"), kStart) == 0.25);
}

namespace {

//! Sends requests one after the other to two failure domains of a region. The endpoint in the same
//! domain takes aNearTime per request, the other one aMiddleTime. Returns the share of requests
//! sent to the other one.
double ShareOfMiddle(EndpointPicker& aPicker,
                     common::Duration aNearTime,
                     common::Duration aMiddleTime,
                     common::TimePoint aStart = kStart)
{
  int middleCount = 0;
  constexpr int kRequests = 200;
  common::TimePoint now = aStart;
  for (int request = 0; request < kRequests; ++request, now += 50ms) {
    const common::InstanceId picked = aPicker.Pick({}, kRoute, now)->instance_;
    const bool isMiddle = picked.Get() == "middle";
    middleCount += isMiddle ? 1 : 0;
    aPicker.OnAttemptStarted(picked, now);
    aPicker.OnLoadReport(picked, kRoute, { 1, 0, 18, isMiddle ? aMiddleTime : aNearTime }, now);
    aPicker.OnAttemptEnded(picked, AttemptResult::kAnswered, now);
  }
  return static_cast<double>(middleCount) / kRequests;
}

const std::vector<Endpoint> kTwoDomains = { MakeEndpoint("near", "d1", "r1"),
                                            MakeEndpoint("middle", "d2", "r1") };

} // namespace

TEST_CASE("A faster endpoint in another failure domain is chosen if it outweighs the distance",
          "[caller][picker][replay]")
{
  EndpointPicker picker = MakePicker(kTwoDomains);
  SECTION(
    "a near endpoint with less than half the speed is avoided, but chosen again once it is fast")
  {
    CHECK(ShareOfMiddle(picker, 340ms, 140ms) > 0.95);
    CHECK(ShareOfMiddle(picker, 100ms, 140ms, kStart + 30s) < 0.1);
  }
  SECTION("a near endpoint of equal speed is preferred")
  {
    CHECK(ShareOfMiddle(picker, 140ms, 140ms) < 0.05);
  }
  SECTION("requests with large answers stay in the failure domain")
  {
    picker.RecordAnswerSize(kRoute, 90UL * 1024);
    CHECK(ShareOfMiddle(picker, 340ms, 140ms) == 0.0);
  }
}

TEST_CASE("An endpoint without a known work time is probed with a single request",
          "[caller][picker][replay]")
{
  EndpointPicker picker = MakePicker(kTwoDomains);
  picker.OnLoadReport(common::InstanceId("near"), kRoute, { 1, 0, 18, 200ms }, kStart);
  CHECK(PickName(picker) == "middle");
  picker.OnAttemptStarted(common::InstanceId("middle"), kStart);
  CHECK(PickName(picker) == "near");
}

TEST_CASE("An endpoint with a high failure rate is avoided until the rate has decayed",
          "[caller][picker][replay]")
{
  EndpointPicker picker = MakePicker(kTwoDomains);
  for (const char* name : { "near", "middle" }) {
    picker.OnLoadReport(common::InstanceId(name), kRoute, { 1, 0, 18, 100ms }, kStart);
  }
  CHECK(PickName(picker) == "near");
  for (int request = 0; request < 10; ++request) {
    const bool isShed = request % 2 == 0;
    picker.OnAttemptStarted(common::InstanceId("near"), kStart);
    picker.OnAttemptEnded(
      common::InstanceId("near"), isShed ? AttemptResult::kShed : AttemptResult::kAnswered, kStart);
  }
  CHECK(PickName(picker) == "middle");
  for (const char* name : { "near", "middle" }) {
    picker.OnLoadReport(common::InstanceId(name), kRoute, { 1, 0, 18, 100ms }, kStart + 20s);
  }
  CHECK(PickName(picker, kStart + 20s) == "near");
}

TEST_CASE("An endpoint whose daemon restarted is chosen at once if the slow start period is zero",
          "[caller][picker][replay]")
{
  // In a rolling restart the near daemon is new, but its target is warm and has its usual load.
  const auto pick = [](common::Duration aSlowStart) {
    PickerSettings settings;
    settings.failureDomain_ = common::FailureDomain("d1");
    settings.region_ = common::Region("r1");
    settings.slowStartPeriod_ = aSlowStart;
    EndpointPicker picker(settings, kSeed);
    picker.SetEndpoints(kTwoDomains, kStart);
    for (const char* name : { "near", "middle" }) {
      picker.OnLoadReport(common::InstanceId(name), kRoute, { 4, 0, 18, 200ms }, kStart);
    }
    picker.SetEndpoints({ MakeEndpoint("near", "d1", "r1", 2), kTwoDomains[1] }, kStart + 10s);
    picker.OnLoadReport(common::InstanceId("near"), kRoute, { 4, 0, 18, 200ms }, kStart + 10s);
    return PickName(picker, kStart + 10s);
  };
  CHECK(pick(5s) == "middle");
  CHECK(pick(0s) == "near");
}
