#include "tests/integration/ConfigurationFixture.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

//! Publishes marked documents with the given services; marks differ in each.
std::uint64_t PublishMany(Publisher& aPublisher, int aCount, std::uint64_t aMark)
{
  std::uint64_t version = 0;
  for (int i = 0; i < aCount; ++i) {
    version = aPublisher.Publish(MarkedDocument({ i % 3, 3 + i % 4, 7 }, aMark + i));
  }
  return version;
}

} // namespace

TEST_CASE("No daemon returns to an older version, whatever is restarted or paused",
          "[integration][configuration][never-back]")
{
  Fleet fleet(ConfigurationFleet(2));
  fleet.Start();
  Publisher publisher(fleet);
  REQUIRE(InForceOn(Running(fleet), PublishMany(publisher, 5, 1000), kGenerousDeadline));
  VersionWatch watch(fleet);

  // A paused head comes back with what it had.
  FleetInstance& head = ReaderOf(fleet, "r2");
  head.Pause();
  PublishMany(publisher, 5, 2000);

  // One daemon, a failure domain, and everybody.
  fleet["r1a-0"].Restart();
  for (FleetInstance* instance : fleet.InDomain("r3b")) {
    instance->Restart();
  }
  std::uint64_t version = PublishMany(publisher, 5, 3000);
  publisher.Repeat();
  head.Continue();
  CHECK(InForceOn(Running(fleet), version, kGenerousDeadline));
  for (FleetInstance& instance : fleet) {
    instance.Kill();
  }
  for (FleetInstance& instance : fleet) {
    instance.StartDaemon();
  }
  version = PublishMany(publisher, 5, 4000);
  CHECK(InForceOn(Running(fleet), version, kGenerousDeadline));

  // Restart in a domain that is cut off: its peer remembers.
  fleet.GetFaultProxy().CutDomain("r1b");
  FleetInstance& cutOff = *fleet.InDomain("r1b").front();
  cutOff.Restart();
  CHECK(InForceOn({ &cutOff }, version, kGenerousDeadline));

  // Alone with nothing to go by it does not serve.
  for (FleetInstance* instance : fleet.InDomain("r1b")) {
    instance->Kill();
  }
  cutOff.Restart();
  CHECK(HoldsFor([&] { return !cutOff.Status().value("serves", true); }, 4s));
  fleet.GetFaultProxy().HealAll();
  CHECK(InForceOn({ &cutOff }, version, kGenerousDeadline));
  CHECK(watch.Stop() == std::vector<std::string>{});
  CHECK(watch.Samples() > 0);
}

TEST_CASE("States are whole and closed under references during a storm of changes",
          "[integration][configuration][whole]")
{
  Fleet fleet(ConfigurationFleet(2));
  fleet.Start();
  Publisher publisher(fleet);
  REQUIRE(InForceOn(Running(fleet), PublishMany(publisher, 1, 1000), kGenerousDeadline));
  VersionWatch watch(fleet);
  std::uint64_t version = 0;
  for (int round = 0; round < 20; ++round) {
    version = PublishMany(publisher, 10, 2000 + 20 * static_cast<std::uint64_t>(round));
    publisher.PublishBroken();
    FleetInstance& victim = fleet[static_cast<std::size_t>(round) % fleet.size()];
    victim.Kill();
    victim.StartDaemon();
  }
  CHECK(InForceOn(Running(fleet), version, kGenerousDeadline));
  CHECK(watch.Stop() == std::vector<std::string>{});
  CHECK(watch.Samples() > 0);
}

TEST_CASE("A newcomer and a publish work after the log was away for longer than its retention",
          "[integration][configuration][retention]")
{
  Fleet fleet(ConfigurationFleet(1));
  fleet.Start();
  Publisher publisher(fleet);
  const std::uint64_t before = PublishMany(publisher, 5, 1000);
  REQUIRE(InForceOn(Running(fleet), before, kGenerousDeadline));

  fleet.ControlLog({ { "outage", "refuse" }, { "retain_ms", 500 } });
  FleetInstance& newcomer = fleet["r3b-0"];
  newcomer.Kill();
  std::this_thread::sleep_for(2s);
  newcomer.StartDaemon();
  CHECK(InForceOn({ &newcomer }, before, kGenerousDeadline));

  fleet.ControlLog({ { "outage", "none" }, { "retain_ms", 600'000 } });
  fleet["r1a-0"].Restart();
  const std::uint64_t after = PublishMany(publisher, 1, 2000);
  CHECK(InForceOn(Running(fleet), after, kGenerousDeadline));
  fleet["r2a-0"].Restart();
  CHECK(InForceOn({ &fleet["r2a-0"] }, after, kGenerousDeadline));
  const nlohmann::json reference = fleet["r2b-0"].Dump()["config"]["document"];
  for (FleetInstance& instance : fleet) {
    CHECK(instance.Dump()["config"]["document"] == reference);
  }
}
