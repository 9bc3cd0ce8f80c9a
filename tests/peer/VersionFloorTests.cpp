#include "dandelionstand/peer/VersionFloor.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace std::chrono_literals;
using common::Offset;
using peer::ServeReason;

TEST_CASE("A restarted daemon serves only at or above the offset that it may have reached before",
          "[floor]")
{
  const common::TimePoint start(10s);
  peer::VersionFloor floor(start);
  CHECK(floor.Decide(Offset(9), start + 1h).reason_ == ServeReason::kNoLogNorPeers);

  SECTION("Reaching the log's tail is sufficient")
  {
    floor.OnLogTail(Offset(5));
    CHECK(floor.Decide(Offset(4), start).reason_ == ServeReason::kBehindLogTail);
    CHECK(floor.Decide(Offset(5), start).mayServe_);
    CHECK(floor.Decide(Offset(0), start).mayServe_);
  }
  SECTION("A tail that a peer observed before the start is ignored")
  {
    floor.OnPeerLogTail(Offset(3), start);
    CHECK_FALSE(floor.Decide(Offset(3), start + 1h).mayServe_);
    floor.OnPeerLogTail(Offset(5), start + 1s);
    CHECK_FALSE(floor.Decide(Offset(4), start + 1h).mayServe_);
  }
  SECTION("A floor remembered by a peer applies even if the log's tail is lower")
  {
    floor.OnPeerFloor(Offset(7));
    floor.OnLogTail(Offset(5));
    CHECK(floor.Decide(Offset(5), start).reason_ == ServeReason::kBehindPeers);
    CHECK(floor.Decide(Offset(7), start).mayServe_);
  }
  SECTION("Without the log the position of a serving peer applies after the grace period")
  {
    floor.OnServingPeer(Offset(6), Offset(2));
    CHECK_FALSE(floor.Decide(Offset(5), start + 1h).mayServe_);
    CHECK_FALSE(floor.Decide(Offset(6), start + 1s).mayServe_);
    CHECK(floor.Decide(Offset(6), start + 3s).reason_ == ServeReason::kAtPeers);
  }
}
