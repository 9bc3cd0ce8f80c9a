#include "tests/integration/ConfigurationFixture.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

//! Publishes aCount documents with different timeouts and returns the version of the last one.
std::uint64_t PublishMany(Publisher& aPublisher, int aCount, std::uint64_t aFirstTimeoutMs)
{
  std::uint64_t version = 0;
  for (int i = 0; i < aCount; ++i) {
    version =
      aPublisher.Publish(UniformTimeoutDocument({ i % 3, 3 + i % 4, 7 }, aFirstTimeoutMs + i));
  }
  return version;
}

} // namespace

TEST_CASE("No daemon returns to an older version when daemons are restarted, paused or cut off",
          "[integration][configuration][never-back]")
{
  Fleet fleet(ConfigurationFleet(2));
  fleet.Start();
  Publisher publisher(fleet);
  REQUIRE(
    WaitUntilActive(RunningInstances(fleet), PublishMany(publisher, 5, 1000), kGenerousTimeout));
  VersionMonitor monitor(fleet);

  // A paused region head resumes with an outdated version.
  FleetInstance& head = WaitForReader(fleet, "r2");
  head.Pause();
  PublishMany(publisher, 5, 2000);

  // Restarts one daemon, then one failure domain, then all daemons.
  fleet["r1a-0"].Restart();
  for (FleetInstance* instance : fleet.InDomain("r3b")) {
    instance->Restart();
  }
  std::uint64_t version = PublishMany(publisher, 5, 3000);
  publisher.RepeatLast();
  head.Continue();
  CHECK(WaitUntilActive(RunningInstances(fleet), version, kGenerousTimeout));
  for (FleetInstance& instance : fleet) {
    instance.Kill();
  }
  for (FleetInstance& instance : fleet) {
    instance.StartDaemon();
  }
  version = PublishMany(publisher, 5, 4000);
  CHECK(WaitUntilActive(RunningInstances(fleet), version, kGenerousTimeout));

  // A daemon that restarts in an isolated domain gets the version from its peer.
  fleet.GetFaultProxy().CutDomain("r1b");
  FleetInstance& cutOff = *fleet.InDomain("r1b").front();
  cutOff.Restart();
  CHECK(WaitUntilActive({ &cutOff }, version, kGenerousTimeout));

  // A daemon that restarts without peers and log does not serve.
  for (FleetInstance* instance : fleet.InDomain("r1b")) {
    instance->Kill();
  }
  cutOff.Restart();
  CHECK(HoldsFor([&] { return !cutOff.Status().value("serves", true); }, 4s));
  fleet.GetFaultProxy().HealAll();
  CHECK(WaitUntilActive({ &cutOff }, version, kGenerousTimeout));
  CHECK(monitor.Stop() == std::vector<std::string>{});
  CHECK(monitor.SampleCount() > 0);
}

TEST_CASE("States are whole and have no dangling references during a storm of changes",
          "[integration][configuration][whole]")
{
  Fleet fleet(ConfigurationFleet(2));
  fleet.Start();
  Publisher publisher(fleet);
  REQUIRE(
    WaitUntilActive(RunningInstances(fleet), PublishMany(publisher, 1, 1000), kGenerousTimeout));
  VersionMonitor monitor(fleet);
  std::uint64_t version = 0;
  for (int round = 0; round < 20; ++round) {
    version = PublishMany(publisher, 10, 2000 + 20 * static_cast<std::uint64_t>(round));
    publisher.PublishInvalid();
    FleetInstance& killedInstance = fleet[static_cast<std::size_t>(round) % fleet.size()];
    killedInstance.Kill();
    killedInstance.StartDaemon();
  }
  CHECK(WaitUntilActive(RunningInstances(fleet), version, kGenerousTimeout));
  CHECK(monitor.Stop() == std::vector<std::string>{});
  CHECK(monitor.SampleCount() > 0);
}

TEST_CASE(
  "A restarted daemon and a publish succeed after a log outage longer than the retention time",
  "[integration][configuration][retention]")
{
  Fleet fleet(ConfigurationFleet(1));
  fleet.Start();
  Publisher publisher(fleet);
  const std::uint64_t versionBefore = PublishMany(publisher, 5, 1000);
  REQUIRE(WaitUntilActive(RunningInstances(fleet), versionBefore, kGenerousTimeout));

  fleet.ControlLog({ { "outage", "refuse" }, { "retain_ms", 500 } });
  FleetInstance& restartedInstance = fleet["r3b-0"];
  restartedInstance.Kill();
  std::this_thread::sleep_for(2s);
  restartedInstance.StartDaemon();
  CHECK(WaitUntilActive({ &restartedInstance }, versionBefore, kGenerousTimeout));

  fleet.ControlLog({ { "outage", "none" }, { "retain_ms", 600'000 } });
  fleet["r1a-0"].Restart();
  const std::uint64_t versionAfter = PublishMany(publisher, 1, 2000);
  CHECK(WaitUntilActive(RunningInstances(fleet), versionAfter, kGenerousTimeout));
  fleet["r2a-0"].Restart();
  CHECK(WaitUntilActive({ &fleet["r2a-0"] }, versionAfter, kGenerousTimeout));
  const nlohmann::json reference = fleet["r2b-0"].Dump()["config"]["document"];
  for (FleetInstance& instance : fleet) {
    CHECK(instance.Dump()["config"]["document"] == reference);
  }
}
