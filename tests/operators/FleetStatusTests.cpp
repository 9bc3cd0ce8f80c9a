#include "dandelionstand/operators/FleetStatus.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::common;
using namespace dandelionstand::operators;

TEST_CASE("A version is active everywhere once every member has it or a later one",
          "[operators][status]")
{
  const std::string text = R"({"version": 9, "failure_domains": {
    "east-1": {"members": 3, "in_force": {"8": 1, "9": 2}, "lagging": ["east-1-b"]},
    "west-1": {"members": 2, "in_force": {"9": 2}, "lagging": []}}})";
  Findings findings;
  const FleetStatus status = ParseFleetStatus(text, findings);
  REQUIRE(findings.ToString() == "");
  CHECK(status.IsActiveEverywhere(Version(8)));
  CHECK_FALSE(status.IsActiveEverywhere(Version(9)));
  CHECK(status.CountMembersAtOrAbove(Version(9)) == 4);
  CHECK(ToText(status) == "version 9 in force on the daemon that was asked\n"
                          "east-1: 3 members, versions 8:1 9:2\n"
                          "  lagging: east-1-b\n"
                          "west-1: 2 members, versions 9:2\n");
}

TEST_CASE("A member without a known version counts as not active", "[operators][status]")
{
  Findings findings;
  const FleetStatus status = ParseFleetStatus(
    R"({"version": 9, "failure_domains": {"a": {"members": 2, "in_force": {"9": 1}}}})", findings);
  CHECK_FALSE(status.IsActiveEverywhere(Version(9)));
  ParseFleetStatus("{\"failure_domains\": 3}", findings);
  CHECK(findings.All().size() == 2);
}
