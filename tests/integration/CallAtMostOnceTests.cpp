#include "CallFleet.h"

#include "tests/support/Wait.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto kThink = 400;

void SetThink(Fleet& aFleet, int aMilliseconds)
{
  for (FleetInstance& instance : aFleet) {
    instance.ControlTarget({ { "think_ms", aMilliseconds } });
  }
}

} // namespace

TEST_CASE("A key that reaches several daemons runs once", "[integration][calls][once]")
{
  CallFleet calls(2, 2);
  Fleet& fleet = calls.fleet_;

  SECTION("at the same time, and again later")
  {
    SetThink(fleet, 100);
    for (int round = 0; round < 5; ++round) {
      const std::string key = "same-" + std::to_string(round);
      std::vector<std::future<HttpReply>> replies;
      for (FleetInstance& instance : fleet) {
        replies.push_back(SendOrderLater(instance, key));
      }
      for (auto& reply : replies) {
        const HttpReply got = reply.get();
        INFO("key " << key << " reason " << got.Header("dandelion-reason"));
        CHECK(got.status_ == 200);
        CHECK(got.Header("request-identity") == key);
      }
      CHECK(SendOrder(fleet[0], key).status_ == 200);
      CHECK(calls.RunsOfKey(key) == 1);
    }
  }
  SECTION("after the daemon that ran it was killed")
  {
    CHECK(SendOrder(fleet[0], "killed-after").status_ == 200);
    SetThink(fleet, kThink);
    auto inFlight = SendOrderLater(fleet[0], "killed-within");
    REQUIRE(WaitUntil([&] { return calls.RunsOfKey("killed-within") == 1; }));
    fleet[0].Kill();
    CHECK(inFlight.get().status_ == 0);
    for (const std::string key : { "killed-after", "killed-within" }) {
      for (std::size_t other : { 1, 2, 3 }) {
        const HttpReply reply = SendOrder(fleet[other], key);
        CHECK(reply.status_ == 409);
        CHECK(RunStateOf(reply) == "unknown");
      }
      CHECK(calls.RunsOfKey(key) == 1);
    }
    SECTION("and all daemons were started anew")
    {
      for (FleetInstance& instance : fleet) {
        instance.Restart();
      }
      for (FleetInstance& instance : fleet) {
        REQUIRE(calls.WaitForService(instance));
        CHECK(RunStateOf(SendOrder(instance, "killed-after")) == "unknown");
      }
      CHECK(calls.RunsOfKey("killed-after") == 1);
    }
  }
  SECTION("while its holder is stopped, and when it goes on")
  {
    SetThink(fleet, kThink);
    auto inFlight = SendOrderLater(fleet[0], "paused");
    REQUIRE(WaitUntil([&] { return calls.RunsOfKey("paused") == 1; }));
    fleet[0].Pause();
    CHECK(RunStateOf(SendOrder(fleet[2], "paused")) == "unknown");
    std::this_thread::sleep_for(2500ms);
    CHECK(RunStateOf(SendOrder(fleet[3], "paused")) == "unknown");
    fleet[0].Continue();
    inFlight.wait();
    CHECK(SendOrder(fleet[1], "paused").status_ != 0);
    CHECK(calls.RunsOfKey("paused") == 1);
  }
  SECTION("stopped between its claim and the run")
  {
    fleet.ControlLog({ { "delay_ms", 300 } });
    auto first = SendOrderLater(fleet[0], "paused-early");
    std::this_thread::sleep_for(100ms);
    fleet[0].Pause();
    const HttpReply second = SendOrder(fleet[2], "paused-early");
    std::this_thread::sleep_for(2500ms);
    fleet[0].Continue();
    first.wait();
    CHECK(second.status_ != 0);
    CHECK(calls.RunsOfKey("paused-early") <= 1);
    SendOrder(fleet[1], "paused-early");
    CHECK(calls.RunsOfKey("paused-early") <= 1);
  }
  SECTION("with the answers of appends lost")
  {
    REQUIRE(SendOrder(fleet[0], "warm").status_ == 200);
    fleet.ControlLog({ { "lose_answers", 6 } });
    for (int round = 0; round < 3; ++round) {
      const std::string key = "lost-" + std::to_string(round);
      auto one = SendOrderLater(fleet[0], key);
      auto other = SendOrderLater(fleet[2], key);
      for (const HttpReply& reply : { one.get(), other.get() }) {
        CHECK((reply.status_ == 200 || RunStateOf(reply) == "not-run"));
      }
      CHECK(calls.RunsOfKey(key) <= 1);
      CHECK(WaitUntil([&] { return SendOrder(fleet[3], key).status_ == 200; }, 20s));
      CHECK(calls.RunsOfKey(key) == 1);
    }
  }
  SECTION("in a log outage, which is told as not run, quickly")
  {
    for (const std::string outage : { "refuse", "silent" }) {
      fleet.ControlLog({ { "outage", outage } });
      for (FleetInstance& instance : fleet) {
        const auto begin = std::chrono::steady_clock::now();
        const HttpReply reply = SendOrder(instance, outage);
        CHECK(RunStateOf(reply) == "not-run");
        CHECK(std::chrono::steady_clock::now() - begin < 1500ms);
        CHECK(instance.Get("/browse").status_ == 200);
      }
      CHECK(calls.RunsOfKey(outage) == 0);
      fleet.ControlLog({ { "outage", "none" } });
      CHECK(WaitUntil([&] { return SendOrder(fleet[1], outage).status_ == 200; }, 5s));
      CHECK(calls.RunsOfKey(outage) == 1);
    }
  }
}

TEST_CASE("A request without a key is never sent again once it may have run",
          "[integration][calls][once]")
{
  CallFleet calls(2, 1);
  Fleet& fleet = calls.fleet_;
  SetThink(fleet, kThink);
  for (const std::string fault : { "target", "daemon" }) {
    const std::string identity = "payment-" + fault;
    auto reply = SendPaymentLater(fleet[0], identity);
    REQUIRE(WaitUntil([&] { return calls.RunsOfIdentity(identity) == 1; }));
    if (fault == "target") {
      fleet[0].ControlTarget({ { "breaks", 1 }, { "break_after_bytes", 10 } });
    } else {
      fleet.GetFaultProxy().Cut(fleet[0].Domain(), fleet[0].Domain());
      fleet.GetFaultProxy().Cut(fleet[0].Domain(), fleet[1].Domain());
    }
    const HttpReply got = reply.get();
    INFO("fault " << fault << " reason " << got.Header("dandelion-reason"));
    CHECK(RunStateOf(got) != "not-run");
    std::this_thread::sleep_for(1s);
    CHECK(calls.RunsOfIdentity(identity) == 1);
  }
}
