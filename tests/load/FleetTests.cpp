#include "dandelionstand/load/EventLines.h"
#include "dandelionstand/load/Metrics.h"
#include "dandelionstand/load/ProcessUsage.h"
#include "dandelionstand/load/Topology.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <set>

#include <unistd.h>

using namespace dandelionstand::load;
using namespace std::chrono_literals;

TEST_CASE("A topology gives each failure domain its own network and an endpoint of each service",
          "[load][topology]")
{
  TopologyShape shape;
  shape.isProxied_ = true;
  const Topology topology = MakeTopology(shape);
  REQUIRE(topology.instances_.size() == 18);

  std::set<std::string> ips;
  std::set<std::string> domains;
  std::set<std::string> domainsOfKatalog;
  for (const InstancePlan& instance : topology.instances_) {
    ips.insert(instance.ip_);
    domains.insert(instance.failureDomain_.Get());
    CHECK(instance.advertisedAddress_ != instance.peerAddress_);
    if (instance.service_.Get() == "katalog") {
      domainsOfKatalog.insert(instance.failureDomain_.Get());
    }
  }
  CHECK(ips.size() == 18);
  CHECK(domains.size() == 6);
  CHECK(domainsOfKatalog.size() == 6);
  CHECK(topology.instances_[0].ip_ == "127.10.1.1");
}

TEST_CASE("The settings of a daemon name its own source address and do not list it as a seed",
          "[load][topology]")
{
  const Topology topology = MakeTopology({});
  const InstancePlan& first = topology.instances_.front();
  const auto settings = nlohmann::json::parse(MakeDaemonSettings(topology, first));
  CHECK(settings["peers"]["source_address"] == first.ip_);
  CHECK(settings["peers"]["seeds"].size() == 3);
  for (const auto& seed : settings["peers"]["seeds"]) {
    CHECK(seed != first.advertisedAddress_.Get());
  }
}

TEST_CASE("Invalid topology shapes are refused", "[load][topology]")
{
  TopologyShape shape;
  SECTION("unknown user")
  {
    shape.user_ = "nobody";
  }
  SECTION("more regions than names")
  {
    shape.regions_ = 4;
  }
  SECTION("a region without a failure domain")
  {
    shape.failureDomains_ = 2;
  }
  SECTION("a failure domain without a daemon")
  {
    shape.daemons_ = 5;
  }
  SECTION("no service")
  {
    shape.services_ = 0;
  }
  CHECK_THROWS_AS(MakeTopology(shape), std::invalid_argument);
}

TEST_CASE("Resource usage is read from the /proc status of a process", "[load][usage]")
{
  const std::string stat = "12 (a) b) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 1 0 99 4096 256 0";
  const auto usage = ParseProcessStat(stat, 100, 4096);
  REQUIRE(usage);
  CHECK(usage->cpuTime_ == 2s);
  CHECK(usage->residentBytes_ == 1'048'576);
  CHECK_FALSE(ParseProcessStat("12 (a) S 1", 100, 4096));
  CHECK_FALSE(ParseProcessStat("", 100, 4096));
  REQUIRE(ReadProcessUsage(getpid()));
  CHECK(ReadProcessUsage(getpid())->residentBytes_ > 0);
}

TEST_CASE("Metrics are summed over labels", "[load][metrics]")
{
  const Metrics metrics = Metrics::Parse("# comment\n"
                                         "dandelion_a_total{border=\"region\",x=\"1\"} 5\n"
                                         "dandelion_a_total{border=\"domain\"} 7\n"
                                         "dandelion_a_total_more 9\n"
                                         "malformed\n"
                                         "dandelion_b x\n");
  CHECK(metrics.Sum("dandelion_a_total") == 12);
  CHECK(metrics.Sum("dandelion_a_total", "border=\"region\"") == 5);
  CHECK(metrics.Sum("dandelion_b") == 0);
  CHECK(metrics.All().size() == 3);
}

TEST_CASE("Fields and times are parsed from event lines", "[load][events]")
{
  const std::string line =
    "time=2026-03-04T05:06:07.089 process=a event=config_in_force reason=\"x y\" subversion=4 "
    "version=12";
  CHECK(FindField(line, "version") == "12");
  CHECK(FindField(line, "reason") == "x y");
  CHECK_FALSE(FindField(line, "absent"));

  const auto time = ParseEventTime(*FindField(line, "time"));
  const auto later = ParseEventTime("2026-03-04T05:06:08.100");
  REQUIRE(time);
  REQUIRE(later);
  CHECK(*later - *time == 1011);
  CHECK_FALSE(ParseEventTime("yesterday"));
}
