#include "dandelionstand/target/RouteUsage.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace std::chrono_literals;

TEST_CASE("The use of a target's slots is recorded by route until it is extracted",
          "[target][usage]")
{
  target::RouteUsage usage;
  usage.RecordOffer("lookup");
  usage.RecordOffer("lookup");
  usage.RecordRefusal("lookup");
  usage.RecordStart("lookup", true, false);
  usage.RecordEnd("lookup", 120ms, true);
  usage.RecordStart("order", false, true);
  const auto uses = usage.Extract();
  REQUIRE(uses.size() == 2);
  const target::RouteUse& lookup = uses.at("lookup");
  CHECK(lookup.offered_ == 2);
  CHECK(lookup.refused_ == 1);
  CHECK(lookup.started_ == 1);
  CHECK(lookup.startedRetries_ == 1);
  CHECK(lookup.startedLate_ == 0);
  CHECK(lookup.aborted_ == 1);
  CHECK(lookup.slotTime_ == 120ms);
  CHECK(uses.at("order").startedLate_ == 1);
  CHECK(usage.Extract().empty());
}
