#include "CallFleet.h"

#include "tests/support/Wait.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto kThinkTimeMs = 400;

void SetThinkTime(Fleet& aFleet, int aMilliseconds)
{
  for (FleetInstance& instance : aFleet) {
    instance.ControlTarget({ { "think_ms", aMilliseconds } });
  }
}

} // namespace

TEST_CASE("A request whose key reaches several daemons runs once", "[integration][calls][once]")
{
  CallFleet calls(2, 2);
  Fleet& fleet = calls.fleet_;

  SECTION("when sent at the same time, and again later")
  {
    SetThinkTime(fleet, 100);
    for (int round = 0; round < 5; ++round) {
      const std::string key = "same-" + std::to_string(round);
      std::vector<std::future<HttpReply>> replies;
      for (FleetInstance& instance : fleet) {
        replies.push_back(SendOrderAsync(instance, key));
      }
      for (auto& reply : replies) {
        const HttpReply answer = reply.get();
        INFO("key " << key << " reason " << answer.Header("dandelion-reason"));
        CHECK(answer.status_ == 200);
        CHECK(answer.Header("request-identity") == key);
      }
      CHECK(SendOrder(fleet[0], key).status_ == 200);
      CHECK(calls.CountRunsByKey(key) == 1);
    }
  }
  SECTION("after the daemon that ran it was killed")
  {
    CHECK(SendOrder(fleet[0], "killed-after").status_ == 200);
    SetThinkTime(fleet, kThinkTimeMs);
    auto pendingOrder = SendOrderAsync(fleet[0], "killed-within");
    REQUIRE(WaitUntil([&] { return calls.CountRunsByKey("killed-within") == 1; }));
    fleet[0].Kill();
    CHECK(pendingOrder.get().status_ == 0);
    for (const std::string key : { "killed-after", "killed-within" }) {
      for (std::size_t other : { 1, 2, 3 }) {
        const HttpReply reply = SendOrder(fleet[other], key);
        CHECK(reply.status_ == 409);
        CHECK(RunStateOf(reply) == "unknown");
      }
      CHECK(calls.CountRunsByKey(key) == 1);
    }
    SECTION("and all daemons were restarted")
    {
      for (FleetInstance& instance : fleet) {
        instance.Restart();
      }
      for (FleetInstance& instance : fleet) {
        REQUIRE(calls.WaitForService(instance));
        CHECK(RunStateOf(SendOrder(instance, "killed-after")) == "unknown");
      }
      CHECK(calls.CountRunsByKey("killed-after") == 1);
    }
  }
  SECTION("while the holder of its claim is paused, and after it resumes")
  {
    SetThinkTime(fleet, kThinkTimeMs);
    auto pendingOrder = SendOrderAsync(fleet[0], "paused");
    REQUIRE(WaitUntil([&] { return calls.CountRunsByKey("paused") == 1; }));
    fleet[0].Pause();
    CHECK(RunStateOf(SendOrder(fleet[2], "paused")) == "unknown");
    std::this_thread::sleep_for(2500ms);
    CHECK(RunStateOf(SendOrder(fleet[3], "paused")) == "unknown");
    fleet[0].Continue();
    pendingOrder.wait();
    CHECK(SendOrder(fleet[1], "paused").status_ != 0);
    CHECK(calls.CountRunsByKey("paused") == 1);
  }
  SECTION("when the holder is paused between the claim and the run")
  {
    fleet.ControlLog({ { "delay_ms", 300 } });
    auto pausedOrder = SendOrderAsync(fleet[0], "paused-early");
    std::this_thread::sleep_for(100ms);
    fleet[0].Pause();
    const HttpReply otherReply = SendOrder(fleet[2], "paused-early");
    std::this_thread::sleep_for(2500ms);
    fleet[0].Continue();
    pausedOrder.wait();
    CHECK(otherReply.status_ != 0);
    CHECK(calls.CountRunsByKey("paused-early") <= 1);
    SendOrder(fleet[1], "paused-early");
    CHECK(calls.CountRunsByKey("paused-early") <= 1);
  }
  SECTION("when answers to appends are lost")
  {
    REQUIRE(SendOrder(fleet[0], "warm").status_ == 200);
    fleet.ControlLog({ { "lose_answers", 6 } });
    for (int round = 0; round < 3; ++round) {
      const std::string key = "lost-" + std::to_string(round);
      auto firstOrder = SendOrderAsync(fleet[0], key);
      auto secondOrder = SendOrderAsync(fleet[2], key);
      for (const HttpReply& reply : { firstOrder.get(), secondOrder.get() }) {
        CHECK((reply.status_ == 200 || RunStateOf(reply) == "not-run"));
      }
      CHECK(calls.CountRunsByKey(key) <= 1);
      CHECK(WaitUntil([&] { return SendOrder(fleet[3], key).status_ == 200; }, 20s));
      CHECK(calls.CountRunsByKey(key) == 1);
    }
  }
  SECTION("during a log outage, in which it is refused as not run within 1.5 s")
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
      CHECK(calls.CountRunsByKey(outage) == 0);
      fleet.ControlLog({ { "outage", "none" } });
      CHECK(WaitUntil([&] { return SendOrder(fleet[1], outage).status_ == 200; }, 5s));
      CHECK(calls.CountRunsByKey(outage) == 1);
    }
  }
}

TEST_CASE("A request without a key is not retried once it may have run",
          "[integration][calls][once]")
{
  CallFleet calls(2, 1);
  Fleet& fleet = calls.fleet_;
  SetThinkTime(fleet, kThinkTimeMs);
  for (const std::string fault : { "target", "daemon" }) {
    const std::string identity = "payment-" + fault;
    auto reply = SendPaymentAsync(fleet[0], identity);
    REQUIRE(WaitUntil([&] { return calls.CountRunsByIdentity(identity) == 1; }));
    if (fault == "target") {
      fleet[0].ControlTarget({ { "breaks", 1 }, { "break_after_bytes", 10 } });
    } else {
      fleet.GetFaultProxy().Cut(fleet[0].Domain(), fleet[0].Domain());
      fleet.GetFaultProxy().Cut(fleet[0].Domain(), fleet[1].Domain());
    }
    const HttpReply answer = reply.get();
    INFO("fault " << fault << " reason " << answer.Header("dandelion-reason"));
    CHECK(RunStateOf(answer) != "not-run");
    std::this_thread::sleep_for(1s);
    CHECK(calls.CountRunsByIdentity(identity) == 1);
  }
}
