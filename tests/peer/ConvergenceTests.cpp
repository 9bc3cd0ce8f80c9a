#include "dandelionstand/peer/Convergence.h"
#include "dandelionstand/peer/Rank.h"

#include <catch2/catch.hpp>

#include <string>

using namespace dandelionstand;
using namespace dandelionstand::peer;
using namespace std::chrono_literals;

namespace {

constexpr common::TimePoint kStart{ 1h };
const common::Version kVersion(1);

//! Members of one failure domain, best rank first.
Members RankedMembers()
{
  Members members;
  for (int number = 1; number <= 4; ++number) {
    Member member;
    member.instance_ = common::InstanceId("m" + std::to_string(number));
    member.address_ = common::Address("127.0.0.1:" + std::to_string(7000 + number));
    member.failureDomain_ = common::FailureDomain("a");
    members.push_back(member);
  }
  return RankedInDomain(members, common::FailureDomain("a"));
}

} // namespace

TEST_CASE("A version is reported at once to a collector that becomes known later",
          "[peer][convergence]")
{
  const Members ranked = RankedMembers();
  Convergence convergence(ranked[3]);
  convergence.SetMembers({ ranked[1], ranked[2], ranked[3] });
  REQUIRE(convergence.Tick(kVersion, kStart).size() == 2);
  CHECK(convergence.Tick(kVersion, kStart + 50ms).empty());
  convergence.SetMembers(ranked);
  const ConvergenceActions actions = convergence.Tick(kVersion, kStart + 100ms);
  REQUIRE(actions.size() == 2);
  CHECK(actions[0].destination_ == ranked[0].address_);
  CHECK(convergence.Tick(kVersion, kStart + 150ms).empty());
}

TEST_CASE("A member that has not reported counts with the version from its membership messages",
          "[peer][convergence]")
{
  Members ranked = RankedMembers();
  ranked[2].configVersion_ = kVersion;
  Convergence convergence(ranked[0]);
  convergence.SetMembers(ranked);
  convergence.Tick(kVersion, kStart);
  const std::vector<DomainVersions> domains = convergence.VersionsByDomain();
  REQUIRE(domains.size() == 1);
  CHECK(domains[0].membersByVersion_.at(kVersion) == 2);
}
