#include "dandelionstand/config/Acceptance.h"

#include "dandelionstand/config/Publish.h"

#include "ConfigFixtures.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::common;
using namespace dandelionstand::config;
using namespace dandelionstand::tests;

TEST_CASE("A valid record makes the next state at its own offset", "[config][acceptance]")
{
  const AcceptResult result = Accept({}, Offset(7), EncodePublishRecord(ShopRecord()));
  REQUIRE(result.findings_.ToString() == "");
  REQUIRE(result.outcome_ == AcceptOutcome::kAccepted);
  CHECK(result.nextState_->version_ == Version(7));
  CHECK(result.nextState_->routes_.at(RouteName("browse")).version_ == Version(7));
  CHECK(ChangesBetween(*result.nextState_, ShopState()).empty());
}

TEST_CASE("A record with one fault changes nothing and reports every fault", "[config][acceptance]")
{
  PublishRecord record = ShopRecord();
  record.changes_.push_back({ { ResourceKind::kRoute, "lost" }, Version(0), LostRoute() });
  record.changes_.push_back({ { ResourceKind::kLimits, "gone" }, Version(3), std::nullopt });
  const AcceptResult result = Accept({}, Offset(7), EncodePublishRecord(record));
  CHECK(result.outcome_ == AcceptOutcome::kConflict);
  CHECK(result.nextState_ == nullptr);
  CHECK(result.findings_.ToString() ==
        "record 7: routes.lost.endpoints: no endpoints named 'nowhere'\n"
        "record 7: limits.gone: was deleted by version 0, the change was based on version 3\n");
}

TEST_CASE("Of two records on one base the first wins and the second names it",
          "[config][acceptance]")
{
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  const ConfigStatePtr won = Publish(*base, 2, SlotsRecord(*base, 5));
  const AcceptResult lost = Accept(*won, Offset(3), EncodePublishRecord(SlotsRecord(*base, 6)));
  CHECK(lost.outcome_ == AcceptOutcome::kConflict);
  CHECK(
    lost.conflicts_ ==
    std::vector<Conflict>{ { { ResourceKind::kLimits, "shop" }, Version(1), Version(2), false } });
}

TEST_CASE("Disjoint changes on one base both land", "[config][acceptance]")
{
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  const ConfigStatePtr first = Publish(*base, 2, SlotsRecord(*base, 5));
  const ConfigStatePtr both = Publish(*first, 3, TimeoutRecord(*base, 750));
  CHECK(both->limits_.at(LimitsName("shop")).value_.slots_ == 5);
  CHECK(both->routes_.at(RouteName("browse")).value_.timeout_ == std::chrono::milliseconds(750));
}

TEST_CASE("A deletion that another change relies on is refused", "[config][acceptance]")
{
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  PublishRecord record = SlotsRecord(*base, 5);
  record.changes_[0].value_.reset();
  const AcceptResult result = Accept(*base, Offset(2), EncodePublishRecord(record));
  CHECK(result.outcome_ == AcceptOutcome::kInvalid);
  CHECK(result.findings_.ToString() == "record 2: endpoints.shop.limits: no limits named 'shop'\n");
}

TEST_CASE("A late copy of a record does not bring a deleted resource back", "[config][acceptance]")
{
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  const PublishRecord create = NewLimitsRecord(*base, "late");
  const ConfigStatePtr created = Publish(*base, 2, create);
  PublishRecord drop = NewLimitsRecord(*created, "late");
  drop.changes_[0] = { { ResourceKind::kLimits, "late" }, Version(2), std::nullopt };
  const ConfigStatePtr dropped = Publish(*created, 3, drop);
  const AcceptResult copy = Accept(*dropped, Offset(4), EncodePublishRecord(create));
  CHECK(copy.outcome_ == AcceptOutcome::kConflict);
  CHECK(
    Accept(*dropped, Offset(4), EncodePublishRecord(NewLimitsRecord(*dropped, "late"))).outcome_ ==
    AcceptOutcome::kAccepted);

  SECTION("nor after the deletion is forgotten")
  {
    const std::uint64_t late = 4 + kBaseWindow;
    const ConfigStatePtr later = Publish(*dropped, late, NewLimitsRecord(*dropped, "x", late - 1));
    REQUIRE(later->deleted_.empty());
    CHECK(Accept(*later, Offset(late + 1), EncodePublishRecord(create)).outcome_ ==
          AcceptOutcome::kInvalid);
  }
}

TEST_CASE("An offset that is not above the state's version is not evaluated",
          "[config][acceptance]")
{
  const ConfigStatePtr base = Publish({}, 5, ShopRecord());
  CHECK(Accept(*base, Offset(5), EncodePublishRecord(SlotsRecord(*base, 5))).outcome_ ==
        AcceptOutcome::kOld);
}

TEST_CASE("Bytes that are no record are garbage", "[config][acceptance]")
{
  const std::string good = EncodePublishRecord(ShopRecord());
  std::string huge = good;
  huge.resize(10'000'000, 'x');
  CHECK(Accept({}, Offset(1), "").outcome_ == AcceptOutcome::kGarbage);
  CHECK(Accept({}, Offset(1), "hello").outcome_ == AcceptOutcome::kGarbage);
  CHECK(Accept({}, Offset(1), good.substr(0, good.size() - 1)).outcome_ == AcceptOutcome::kGarbage);
  CHECK(Accept({}, Offset(1), huge).outcome_ == AcceptOutcome::kGarbage);
  for (std::size_t index = 0; index < good.size(); ++index) {
    std::string damaged = good;
    damaged[index] ^= 1;
    CHECK(Accept({}, Offset(1), damaged).outcome_ == AcceptOutcome::kGarbage);
  }
}
