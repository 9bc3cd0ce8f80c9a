#include "tests/integration/ConfigurationFixture.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

std::uint64_t PublishWithTimeout(Publisher& aPublisher, std::uint64_t aTimeoutMs)
{
  return aPublisher.Publish(UniformTimeoutDocument({ 0, 1, 2 }, aTimeoutMs));
}

//! Starts a fleet and waits until a first version is active and each region has one log reader.
//! Returns the version.
std::uint64_t Settle(Fleet& aFleet, Publisher& aPublisher)
{
  aFleet.Start();
  const std::uint64_t version = PublishWithTimeout(aPublisher, 1000);
  REQUIRE(WaitUntilActive(RunningInstances(aFleet), version, kGenerousTimeout));
  for (const char* region : { "r1", "r2", "r3" }) {
    WaitForReader(aFleet, region);
  }
  return version;
}

//! kPlatform and the failure domains of all other regions.
std::vector<std::string> OtherDomains(Fleet& aFleet, const std::string& aRegion)
{
  std::vector<std::string> others = { kPlatform };
  for (const char* region : { "r1", "r2", "r3" }) {
    for (const std::string& domain : aFleet.DomainsOf(region)) {
      if (region != aRegion) {
        others.push_back(domain);
      }
    }
  }
  return others;
}

} // namespace

TEST_CASE("A version is active within 5 s while daemons die",
          "[integration][configuration][convergence]")
{
  Fleet fleet(ConfigurationFleet(2, GENERATE("time", "bytes")));
  Publisher publisher(fleet);
  Settle(fleet, publisher);

  // The heads of two regions are killed just before the publish.
  WaitForReader(fleet, "r1").Kill();
  WaitForReader(fleet, "r3").Kill();
  CHECK(WaitUntilActive(RunningInstances(fleet), PublishWithTimeout(publisher, 2000)));

  // Half of the daemons are killed and restarted.
  for (std::size_t i = 0; i < fleet.size(); i += 2) {
    fleet[i].Kill();
  }
  CHECK(WaitUntilActive(RunningInstances(fleet), PublishWithTimeout(publisher, 3000)));
  for (FleetInstance& instance : fleet) {
    instance.StartDaemon();
  }
  for (FleetInstance& instance : fleet) {
    REQUIRE(instance.WaitForDaemon());
  }
  CHECK(WaitUntilActive(RunningInstances(fleet), PublishWithTimeout(publisher, 4000)));
}

TEST_CASE("A version is active within 5 s of the reconnection of a region that was cut off",
          "[integration][configuration][convergence]")
{
  Fleet fleet(ConfigurationFleet(2, GENERATE("time", "bytes")));
  Publisher publisher(fleet);
  const std::uint64_t previousVersion = Settle(fleet, publisher);
  const FaultProxyClient& faultProxy = fleet.GetFaultProxy();
  faultProxy.CutGroups(fleet.DomainsOf("r2"), OtherDomains(fleet, "r2"));
  const std::uint64_t version = PublishWithTimeout(publisher, 2000);
  std::vector<FleetInstance*> reachableInstances = fleet.InRegion("r1");
  const std::vector<FleetInstance*> thirdRegion = fleet.InRegion("r3");
  reachableInstances.insert(reachableInstances.end(), thirdRegion.begin(), thirdRegion.end());
  CHECK(WaitUntilActive(reachableInstances, version));
  CHECK(HoldsFor([&] { return fleet.InRegion("r2").front()->Version() == previousVersion; }, 5s));
  faultProxy.HealAll();
  CHECK(WaitUntilActive(fleet.InRegion("r2"), version));
}

TEST_CASE(
  "A version is active within 5 s while the log is slow, and within 5 s of the end of its outage",
  "[integration][configuration][convergence]")
{
  Fleet fleet(ConfigurationFleet(2, GENERATE("time", "bytes")));
  Publisher publisher(fleet);
  Settle(fleet, publisher);
  fleet.ControlLog({ { "delay_ms", 400 } });
  CHECK(WaitUntilActive(RunningInstances(fleet), PublishWithTimeout(publisher, 2000)));
  fleet.ControlLog({ { "delay_ms", 0 }, { "outage", GENERATE("refuse", "silent") } });
  CHECK(publisher.Publish(UniformTimeoutDocument({ 0 }, 3000)) == 0);
  std::this_thread::sleep_for(6s);
  fleet.ControlLog({ { "outage", "none" } });
  CHECK(WaitUntilActive(RunningInstances(fleet), PublishWithTimeout(publisher, 4000)));
}

TEST_CASE("A version is active within 5 s after every connection went permanently silent",
          "[integration][configuration][convergence]")
{
  Fleet fleet(ConfigurationFleet(2, GENERATE("time", "bytes")));
  Publisher publisher(fleet);
  Settle(fleet, publisher);
  fleet.GetFaultProxy().FreezeAll();
  CHECK(WaitUntilActive(RunningInstances(fleet), PublishWithTimeout(publisher, 2000)));
}

TEST_CASE("Any daemon reports the active versions by failure domain",
          "[integration][configuration][convergence]")
{
  Fleet fleet(ConfigurationFleet(2));
  Publisher publisher(fleet);
  Settle(fleet, publisher);
  // A paused daemon cannot get the next version.
  fleet["r3b-1"].Pause();
  const std::uint64_t version = PublishWithTimeout(publisher, 2000);
  const auto isReported = [&](FleetInstance& aInstance) {
    const nlohmann::json status = aInstance.Status();
    const nlohmann::json domains = status.value("failure_domains", nlohmann::json::object());
    const std::string key = std::to_string(version);
    return domains.size() == 6 && domains["r1a"]["in_force"].value(key, 0) == 2 &&
           domains["r3b"]["in_force"].value(key, 0) == 1 &&
           (domains["r3b"]["lagging"] == nlohmann::json::array({ "r3b-1" }) ||
            domains["r3b"]["members"] == 1);
  };
  CHECK(WaitUntil([&] { return isReported(fleet["r1a-0"]); }));
  CHECK(WaitUntil([&] { return isReported(fleet["r2b-1"]); }));
}
