#include "dandelionstand/caller/TrafficSplit.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>
#include <string>

using namespace dandelionstand;
using caller::TrafficSplit;

namespace {

config::Route RouteTo(const std::vector<config::SplitPart>& aParts)
{
  config::Route route;
  route.split_ = aParts;
  return route;
}

const config::RouteName kName("r");
const common::ServiceName kFirst("one");
const common::ServiceName kSecond("two");
const common::ServiceName kUnweighted("none");

} // namespace

TEST_CASE("Shares follow the weights over few requests, on each daemon and over a fleet",
          "[caller][split]")
{
  const config::Route route = RouteTo({ { kFirst, 90 }, { kSecond, 10 }, { kUnweighted, 0 } });
  std::map<common::ServiceName, int> total;
  for (std::uint64_t seed = 0; seed < 18; ++seed) {
    TrafficSplit split(seed);
    std::map<common::ServiceName, int> counts;
    for (int request = 0; request < 20; ++request) {
      ++counts[split.Choose(kName, route)];
    }
    CHECK(std::abs(counts[kFirst] - 18) <= 1);
    for (const auto& [service, count] : counts) {
      total[service] += count;
    }
  }
  CHECK(total[kUnweighted] == 0);
  CHECK(std::abs(total[kSecond] - 36) <= 9);
}

TEST_CASE("New weights apply from the next request on", "[caller][split]")
{
  TrafficSplit split(1);
  split.Choose(kName, RouteTo({ { kFirst, 1 }, { kSecond, 1 } }));
  for (int request = 0; request < 10; ++request) {
    CHECK(split.Choose(kName, RouteTo({ { kFirst, 0 }, { kSecond, 1 } })) == kSecond);
  }
}
