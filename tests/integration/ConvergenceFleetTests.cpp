#include "tests/integration/ConfigurationFixture.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

std::uint64_t PublishMarked(Publisher& aPublisher, std::uint64_t aMark)
{
  return aPublisher.Publish(MarkedDocument({ 0, 1, 2 }, aMark));
}

//! Starts a fleet with a first version in force and one reader a region.
std::uint64_t Settle(Fleet& aFleet, Publisher& aPublisher)
{
  aFleet.Start();
  const std::uint64_t version = PublishMarked(aPublisher, 1000);
  REQUIRE(InForceOn(Running(aFleet), version, kGenerousDeadline));
  for (const char* region : { "r1", "r2", "r3" }) {
    ReaderOf(aFleet, region);
  }
  return version;
}

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

TEST_CASE("A version is in force within 5 s although daemons die",
          "[integration][configuration][convergence]")
{
  Fleet fleet(ConfigurationFleet(2, GENERATE("time", "bytes")));
  Publisher publisher(fleet);
  Settle(fleet, publisher);

  // The heads of two regions die with the publish.
  ReaderOf(fleet, "r1").Kill();
  ReaderOf(fleet, "r3").Kill();
  CHECK(InForceOn(Running(fleet), PublishMarked(publisher, 2000)));

  // Half of the daemons die and come back.
  for (std::size_t i = 0; i < fleet.size(); i += 2) {
    fleet[i].Kill();
  }
  CHECK(InForceOn(Running(fleet), PublishMarked(publisher, 3000)));
  for (FleetInstance& instance : fleet) {
    instance.StartDaemon();
  }
  for (FleetInstance& instance : fleet) {
    REQUIRE(instance.WaitForDaemon());
  }
  CHECK(InForceOn(Running(fleet), PublishMarked(publisher, 4000)));
}

TEST_CASE("A version is in force within 5 s of the heal of a region that was cut off",
          "[integration][configuration][convergence]")
{
  Fleet fleet(ConfigurationFleet(2, GENERATE("time", "bytes")));
  Publisher publisher(fleet);
  const std::uint64_t before = Settle(fleet, publisher);
  const FaultProxyClient& borders = fleet.GetFaultProxy();
  borders.CutGroups(fleet.DomainsOf("r2"), OtherDomains(fleet, "r2"));
  const std::uint64_t version = PublishMarked(publisher, 2000);
  std::vector<FleetInstance*> reachable = fleet.InRegion("r1");
  const std::vector<FleetInstance*> third = fleet.InRegion("r3");
  reachable.insert(reachable.end(), third.begin(), third.end());
  CHECK(InForceOn(reachable, version));
  CHECK(HoldsFor([&] { return fleet.InRegion("r2").front()->Version() == before; }, 5s));
  borders.HealAll();
  CHECK(InForceOn(fleet.InRegion("r2"), version));
}

TEST_CASE("A version is in force within 5 s of the return of the log, and while it is slow",
          "[integration][configuration][convergence]")
{
  Fleet fleet(ConfigurationFleet(2, GENERATE("time", "bytes")));
  Publisher publisher(fleet);
  Settle(fleet, publisher);
  fleet.ControlLog({ { "delay_ms", 400 } });
  CHECK(InForceOn(Running(fleet), PublishMarked(publisher, 2000)));
  fleet.ControlLog({ { "delay_ms", 0 }, { "outage", GENERATE("refuse", "silent") } });
  CHECK(publisher.Publish(MarkedDocument({ 0 }, 3000)) == 0);
  std::this_thread::sleep_for(6s);
  fleet.ControlLog({ { "outage", "none" } });
  CHECK(InForceOn(Running(fleet), PublishMarked(publisher, 4000)));
}

TEST_CASE("A version is in force within 5 s after every connection went silent for good",
          "[integration][configuration][convergence]")
{
  Fleet fleet(ConfigurationFleet(2, GENERATE("time", "bytes")));
  Publisher publisher(fleet);
  Settle(fleet, publisher);
  fleet.GetFaultProxy().FreezeAll();
  CHECK(InForceOn(Running(fleet), PublishMarked(publisher, 2000)));
}

TEST_CASE("Any daemon shows the versions in force by failure domain",
          "[integration][configuration][convergence]")
{
  Fleet fleet(ConfigurationFleet(2));
  Publisher publisher(fleet);
  Settle(fleet, publisher);
  // One daemon cannot get the next version.
  fleet["r3b-1"].Pause();
  const std::uint64_t version = PublishMarked(publisher, 2000);
  const auto isShown = [&](FleetInstance& aInstance) {
    const nlohmann::json status = aInstance.Status();
    const nlohmann::json domains = status.value("failure_domains", nlohmann::json::object());
    const std::string key = std::to_string(version);
    return domains.size() == 6 && domains["r1a"]["in_force"].value(key, 0) == 2 &&
           domains["r3b"]["in_force"].value(key, 0) == 1 &&
           (domains["r3b"]["lagging"] == nlohmann::json::array({ "r3b-1" }) ||
            domains["r3b"]["members"] == 1);
  };
  CHECK(WaitUntil([&] { return isShown(fleet["r1a-0"]); }));
  CHECK(WaitUntil([&] { return isShown(fleet["r2b-1"]); }));
}
