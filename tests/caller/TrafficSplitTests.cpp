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
const common::ServiceName kOne("one");
const common::ServiceName kTwo("two");
const common::ServiceName kNone("none");

} // namespace

TEST_CASE("Shares follow the weights over short runs, in a fleet of daemons", "[caller][split]")
{
  const config::Route route = RouteTo({ { kOne, 90 }, { kTwo, 10 }, { kNone, 0 } });
  std::map<common::ServiceName, int> total;
  for (std::uint64_t seed = 0; seed < 18; ++seed) {
    TrafficSplit split(seed);
    std::map<common::ServiceName, int> counts;
    for (int request = 0; request < 20; ++request) {
      ++counts[split.Choose(kName, route)];
    }
    CHECK(std::abs(counts[kOne] - 18) <= 1);
    for (const auto& [service, count] : counts) {
      total[service] += count;
    }
  }
  CHECK(total[kNone] == 0);
  CHECK(std::abs(total[kTwo] - 36) <= 9);
}

TEST_CASE("New weights hold from the next request", "[caller][split]")
{
  TrafficSplit split(1);
  split.Choose(kName, RouteTo({ { kOne, 1 }, { kTwo, 1 } }));
  for (int request = 0; request < 10; ++request) {
    CHECK(split.Choose(kName, RouteTo({ { kOne, 0 }, { kTwo, 1 } })) == kTwo);
  }
}
