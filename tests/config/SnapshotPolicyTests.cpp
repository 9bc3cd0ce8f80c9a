#include "dandelionstand/config/SnapshotPolicy.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::common;
using namespace dandelionstand::config;
using namespace std::chrono_literals;

namespace {

const SnapshotSettings kSettings{ 10min, 500, 2s };

SnapshotPolicyInput InputAt(std::uint64_t aAppliedOffset)
{
  return { .version_ = Version(3),
           .appliedOffset_ = Offset(aAppliedOffset),
           .logFirst_ = Offset(1),
           .logNext_ = Offset(aAppliedOffset + 1),
           .snapshotOffset_ = Offset(0),
           .knownVersion_ = Version(3) };
}

TimePoint At(Duration aTime)
{
  return TimePoint(aTime);
}

} // namespace

TEST_CASE("A snapshot is appended when the newest one reaches the maximum age",
          "[config][snapshot]")
{
  SnapshotPolicy policy(kSettings, 1);
  SnapshotPolicyInput input = InputAt(20);
  input.snapshotOffset_ = Offset(15);
  CHECK_FALSE(policy.ShouldAppend(At(0s), input));
  CHECK_FALSE(policy.ShouldAppend(At(10min), input));
  CHECK(policy.ShouldAppend(At(10min + 2s), input));
  input.snapshotOffset_ = Offset(21);
  input.appliedOffset_ = Offset(21);
  input.logNext_ = Offset(22);
  CHECK_FALSE(policy.ShouldAppend(At(10min + 3s), input));
  CHECK_FALSE(policy.ShouldAppend(At(19min), input));
}

TEST_CASE("A snapshot is appended when the log retains none or is about to drop the newest",
          "[config][snapshot]")
{
  SnapshotPolicy policy(kSettings, 1);
  SnapshotPolicyInput input = InputAt(100);
  input.logFirst_ = GENERATE(Offset(50), Offset(101));
  input.snapshotOffset_ = GENERATE(Offset(0), Offset(40), Offset(52));
  const bool isRetained = input.snapshotOffset_ >= input.logFirst_;
  REQUIRE((!isRetained || input.snapshotOffset_ == Offset(52)));
  CHECK_FALSE(policy.ShouldAppend(At(0s), input));
  CHECK(policy.ShouldAppend(At(2s), input));
}

TEST_CASE("A member of lower rank does not append if another member appends while it waits",
          "[config][snapshot]")
{
  SnapshotPolicy policy(kSettings, 1);
  SnapshotPolicyInput input = InputAt(600);
  input.rank_ = 2;
  CHECK_FALSE(policy.ShouldAppend(At(0s), input));
  CHECK_FALSE(policy.ShouldAppend(At(3s), input));
  input.snapshotOffset_ = Offset(601);
  input.appliedOffset_ = Offset(601);
  input.logNext_ = Offset(602);
  CHECK_FALSE(policy.ShouldAppend(At(10s), input));

  SECTION("but appends if no snapshot appears")
  {
    SnapshotPolicy waitingPolicy(kSettings, 1);
    input = InputAt(600);
    input.rank_ = 2;
    CHECK_FALSE(waitingPolicy.ShouldAppend(At(0s), input));
    CHECK(waitingPolicy.ShouldAppend(At(6s), input));
  }
}

TEST_CASE("A member that is behind, has a gap or has no state appends nothing",
          "[config][snapshot]")
{
  SnapshotPolicy policy(kSettings, 1);
  SnapshotPolicyInput input = InputAt(600);
  SECTION("behind another member")
  {
    input.knownVersion_ = Version(4);
  }
  SECTION("behind the log")
  {
    input.logNext_ = Offset(700);
  }
  SECTION("with a gap")
  {
    input.hasGap_ = true;
  }
  SECTION("without a state")
  {
    input.version_ = Version(0);
  }
  CHECK_FALSE(policy.ShouldAppend(At(0s), input));
  CHECK_FALSE(policy.ShouldAppend(At(1h), input));
}
