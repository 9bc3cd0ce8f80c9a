#include "dandelionstand/config/SnapshotPolicy.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::common;
using namespace dandelionstand::config;
using namespace std::chrono_literals;

namespace {

const SnapshotSettings kSettings{ 10min, 500, 2s };

SnapshotPolicyInput ViewAt(std::uint64_t aThrough)
{
  return { .version_ = Version(3),
           .appliedOffset_ = Offset(aThrough),
           .logFirst_ = Offset(1),
           .logNext_ = Offset(aThrough + 1),
           .snapshotOffset_ = Offset(0),
           .knownVersion_ = Version(3) };
}

TimePoint At(Duration aTime)
{
  return TimePoint(aTime);
}

} // namespace

TEST_CASE("A snapshot is appended once its age nears retention", "[config][snapshot]")
{
  SnapshotPolicy policy(kSettings, 1);
  SnapshotPolicyInput view = ViewAt(20);
  view.snapshotOffset_ = Offset(15);
  CHECK_FALSE(policy.ShouldAppend(At(0s), view));
  CHECK_FALSE(policy.ShouldAppend(At(10min), view));
  CHECK(policy.ShouldAppend(At(10min + 2s), view));
  view.snapshotOffset_ = Offset(21);
  view.appliedOffset_ = Offset(21);
  view.logNext_ = Offset(22);
  CHECK_FALSE(policy.ShouldAppend(At(10min + 3s), view));
  CHECK_FALSE(policy.ShouldAppend(At(19min), view));
}

TEST_CASE("A snapshot is appended soon when the log holds none or is about to drop it",
          "[config][snapshot]")
{
  SnapshotPolicy policy(kSettings, 1);
  SnapshotPolicyInput view = ViewAt(100);
  view.logFirst_ = GENERATE(Offset(50), Offset(101));
  view.snapshotOffset_ = GENERATE(Offset(0), Offset(40), Offset(52));
  const bool isKept = view.snapshotOffset_ >= view.logFirst_;
  REQUIRE((!isKept || view.snapshotOffset_ == Offset(52)));
  CHECK_FALSE(policy.ShouldAppend(At(0s), view));
  CHECK(policy.ShouldAppend(At(2s), view));
}

TEST_CASE("A member of a later rank waits and sees the first one's snapshot", "[config][snapshot]")
{
  SnapshotPolicy policy(kSettings, 1);
  SnapshotPolicyInput view = ViewAt(600);
  view.rank_ = 2;
  CHECK_FALSE(policy.ShouldAppend(At(0s), view));
  CHECK_FALSE(policy.ShouldAppend(At(3s), view));
  view.snapshotOffset_ = Offset(601);
  view.appliedOffset_ = Offset(601);
  view.logNext_ = Offset(602);
  CHECK_FALSE(policy.ShouldAppend(At(10s), view));

  SECTION("or appends one if none came")
  {
    SnapshotPolicy spare(kSettings, 1);
    view = ViewAt(600);
    view.rank_ = 2;
    CHECK_FALSE(spare.ShouldAppend(At(0s), view));
    CHECK(spare.ShouldAppend(At(6s), view));
  }
}

TEST_CASE("A member that is behind, has a gap or has no state appends nothing",
          "[config][snapshot]")
{
  SnapshotPolicy policy(kSettings, 1);
  SnapshotPolicyInput view = ViewAt(600);
  SECTION("behind another member")
  {
    view.knownVersion_ = Version(4);
  }
  SECTION("behind the log")
  {
    view.logNext_ = Offset(700);
  }
  SECTION("with a gap")
  {
    view.hasGap_ = true;
  }
  SECTION("without a state")
  {
    view.version_ = Version(0);
  }
  CHECK_FALSE(policy.ShouldAppend(At(0s), view));
  CHECK_FALSE(policy.ShouldAppend(At(1h), view));
}
