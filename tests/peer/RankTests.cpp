#include "dandelionstand/peer/Rank.h"

#include <catch2/catch.hpp>

#include <set>

using namespace dandelionstand;

namespace {

peer::Members MakeMembers(int aCount)
{
  peer::Members members;
  for (int i = 0; i < aCount; ++i) {
    peer::Member member;
    member.instance_ = common::InstanceId("i" + std::to_string(i));
    member.failureDomain_ = common::FailureDomain(i % 2 == 0 ? "even" : "odd");
    member.region_ = common::Region("r");
    members.push_back(member);
  }
  return members;
}

} // namespace

TEST_CASE("A fan-out tree reaches every member exactly once", "[rank]")
{
  const std::size_t fanOut = GENERATE(1, 2, 3, 8);
  const peer::Members ranked = MakeMembers(23);
  std::multiset<common::InstanceId> reached;
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    for (const peer::Member& child : peer::TreeChildren(ranked, i, fanOut)) {
      reached.insert(child.instance_);
    }
  }
  CHECK(reached.size() == ranked.size() - 1);
  CHECK(reached.count(ranked.front().instance_) == 0);
  CHECK(std::set<common::InstanceId>(reached.begin(), reached.end()).size() == reached.size());
}

TEST_CASE("The standby head is in another failure domain than the head", "[rank]")
{
  peer::Members members = MakeMembers(9);
  const peer::Members heads = peer::HeadAndStandby(members, common::Region("r"));
  REQUIRE(heads.size() == 2);
  CHECK(heads[0].failureDomain_ != heads[1].failureDomain_);

  SECTION("A dead head is replaced")
  {
    members[peer::IndexOf(members, heads[0].instance_)].status_ = peer::MemberStatus::kDead;
    CHECK(peer::HeadAndStandby(members, common::Region("r"))[0].instance_ != heads[0].instance_);
  }
  SECTION("A suspect head keeps its role")
  {
    members[peer::IndexOf(members, heads[0].instance_)].status_ = peer::MemberStatus::kSuspect;
    CHECK(peer::HeadAndStandby(members, common::Region("r"))[0].instance_ == heads[0].instance_);
  }
}
