#include "dandelionstand/config/Document.h"
#include "dandelionstand/load/CapacityMetrics.h"
#include "dandelionstand/load/ExperimentConfig.h"
#include "dandelionstand/load/FaultProxyControl.h"
#include "dandelionstand/load/FleetStats.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace dandelionstand;
using namespace dandelionstand::load;
using namespace std::chrono_literals;

namespace {

DaemonSample MakeSample(const InstancePlan& aInstance, int aPid, const std::string& aMetrics)
{
  return { &aInstance, aPid, { 0s, 0 }, Metrics::Parse(aMetrics) };
}

} // namespace

TEST_CASE("A generated configuration is valid, and each revision changes a route but no limits",
          "[load][experiment]")
{
  ExperimentConfig settings{ { "katalog", "bestellung" }, 5, 1 };
  const config::ConfigState first = MakeConfig(settings);
  CHECK(first.routes_.size() == 10);

  common::Findings findings;
  config::ParseDocument(config::WriteDocument(first), "generated", findings);
  CHECK(findings.ToString() == "");

  settings.revision_ = 2;
  const config::ConfigState second = MakeConfig(settings);
  CHECK_FALSE(second == first);
  CHECK(second.limits_ == first.limits_);
}

TEST_CASE("Proxied bytes are summed by the locality of sender and receiver", "[load][borders]")
{
  const TopologyShape shape; // Failure domains 0 and 3 are in the first region.
  const auto bytes = ParseProxyCounts(
    R"([{"from":10,"to":10,"bytes":1,"connections":1},{"from":10,"to":13,"bytes":2},
        {"from":13,"to":11,"bytes":4},{"from":11,"to":10,"bytes":8}])",
    shape);
  REQUIRE(bytes);
  CHECK(bytes->insideDomains_ == 1);
  CHECK(bytes->betweenDomains_ == 2);
  CHECK(bytes->betweenRegions_ == 12);
  CHECK_FALSE(ParseProxyCounts("{}", shape));
  CHECK_FALSE(ParseProxyCounts(R"([{"from":10}])", shape));
}

TEST_CASE(
  "The proxy forwards to each daemon and the log and delays traffic between failure domains",
  "[load][borders]")
{
  TopologyShape shape;
  shape.isProxied_ = true;
  const auto settings = nlohmann::json::parse(MakeProxySettings(MakeTopology(shape)));
  CHECK(settings["forwards"].size() == 19);
  for (const auto& forward : settings["forwards"]) {
    CHECK(forward["listen"] != forward["forward"]);
  }
  const auto rules = nlohmann::json::parse(MakeDelayRules(shape, 500us, 12ms));
  REQUIRE(rules.size() == 30);
  for (const auto& rule : rules) {
    const bool isSameRegion = (rule["from"].get<int>() - rule["to"].get<int>()) % 3 == 0;
    CHECK(rule["delay_us"] == (isSameRegion ? 500 : 12'000));
  }
}

TEST_CASE("Rates omit daemons that were restarted between the samples", "[load][experiment]")
{
  const Topology topology = MakeTopology({});
  const InstancePlan& one = topology.instances_[0];
  const InstancePlan& two = topology.instances_[1];
  FleetSample before;
  before.sampledAt_ = common::TimePoint(1s);
  before.daemons_ = { MakeSample(one, 1, "dandelion_peer_bytes_sent_total 100\n"),
                      MakeSample(two, 2, "dandelion_peer_bytes_sent_total 900\n") };
  FleetSample after;
  after.sampledAt_ = common::TimePoint(3s);
  after.daemons_ = { MakeSample(one,
                                1,
                                "dandelion_peer_bytes_sent_total 300\n"
                                "dandelion_spreading_is_reader 1\n"),
                     MakeSample(two, 3, "dandelion_peer_bytes_sent_total 10\n") };
  after.proxiedBytes_.betweenRegions_ = 50;

  const FleetRates rates = RatesBetween(before, after);
  REQUIRE(rates.daemons_.size() == 1);
  CHECK(MeanOf(rates, &DaemonRates::sentBytesPerSecond_) == Approx(100));
  CHECK(MaxOfRegionHeads(rates, &DaemonRates::sentBytesPerSecond_) == Approx(100));
  CHECK(rates.proxiedRates_.betweenRegions_ == Approx(25));
}

TEST_CASE("The target table adds up the slopes and shows the extrapolation factor",
          "[load][experiment]")
{
  CapacityPlan plan;
  plan.sweeps_ = { { "daemons", 10, 1000, true, {}, nullptr },
                   { "calls/s", 0, 50, false, {}, nullptr } };
  const std::vector<CapacitySample> samples = { { "daemons", 10, "CPU", 1 },
                                                { "daemons", 100, "CPU", 10 },
                                                { "calls/s", 0, "CPU", 1 },
                                                { "calls/s", 100, "CPU", 5 },
                                                { "daemons", 10, "idle", 0 } };
  const Table target = MakeTargetTable(plan, samples);
  REQUIRE(target.rows_.size() == 2);
  CHECK(target.rows_[0] ==
        std::vector<std::string>{
          "CPU", "1.0000", "99.0000 (x10.0)", "2.0000 (x0.5)", "100.0000", "102.0000" });
  CHECK(target.rows_[1][3] == "not measured");

  const Table slopes = MakeSlopeTable(samples);
  CHECK(slopes.rows_.size() == 2); // "idle" is 0 at every point, so it has no row.
}
