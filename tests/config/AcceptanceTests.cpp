#include "dandelionstand/config/Acceptance.h"

#include "dandelionstand/config/Publish.h"

#include "ConfigFixtures.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::common;
using namespace dandelionstand::config;
using namespace dandelionstand::tests;

TEST_CASE("An accepted record yields a state whose version is the record's offset",
          "[config][acceptance]")
{
  const AcceptResult result = Accept({}, Offset(7), EncodePublishRecord(ShopRecord()));
  REQUIRE(result.findings_.ToString() == "");
  REQUIRE(result.outcome_ == AcceptOutcome::kAccepted);
  CHECK(result.nextState_->version_ == Version(7));
  CHECK(result.nextState_->routes_.at(RouteName("browse")).version_ == Version(7));
  CHECK(ChangesBetween(*result.nextState_, ShopState()).empty());
}

TEST_CASE("A record with several faults changes nothing and gets a finding for each",
          "[config][acceptance]")
{
  PublishRecord record = ShopRecord();
  record.changes_.push_back({ { ResourceKind::kRoute, "lost" }, Version(0), DanglingRoute() });
  record.changes_.push_back({ { ResourceKind::kLimits, "gone" }, Version(3), std::nullopt });
  const AcceptResult result = Accept({}, Offset(7), EncodePublishRecord(record));
  CHECK(result.outcome_ == AcceptOutcome::kConflict);
  CHECK(result.nextState_ == nullptr);
  CHECK(result.findings_.ToString() ==
        "record 7: routes.lost.endpoints: no endpoints named 'nowhere'\n"
        "record 7: limits.gone: was deleted by version 0, the change was based on version 3\n");
}

TEST_CASE("The second of two records that change the same version is refused with a conflict",
          "[config][acceptance]")
{
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  const ConfigStatePtr current = Publish(*base, 2, SlotsRecord(*base, 5));
  const AcceptResult second =
    Accept(*current, Offset(3), EncodePublishRecord(SlotsRecord(*base, 6)));
  CHECK(second.outcome_ == AcceptOutcome::kConflict);
  CHECK(
    second.conflicts_ ==
    std::vector<Conflict>{ { { ResourceKind::kLimits, "shop" }, Version(1), Version(2), false } });
}

TEST_CASE("Two records on one base that change different resources are both accepted",
          "[config][acceptance]")
{
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  const ConfigStatePtr first = Publish(*base, 2, SlotsRecord(*base, 5));
  const ConfigStatePtr both = Publish(*first, 3, TimeoutRecord(*base, 750));
  CHECK(both->limits_.at(LimitsName("shop")).value_.slots_ == 5);
  CHECK(both->routes_.at(RouteName("browse")).value_.timeout_ == std::chrono::milliseconds(750));
}

TEST_CASE("Deleting a resource that is still referenced is refused", "[config][acceptance]")
{
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  PublishRecord record = SlotsRecord(*base, 5);
  record.changes_[0].value_.reset();
  const AcceptResult result = Accept(*base, Offset(2), EncodePublishRecord(record));
  CHECK(result.outcome_ == AcceptOutcome::kInvalid);
  CHECK(result.findings_.ToString() == "record 2: endpoints.shop.limits: no limits named 'shop'\n");
}

TEST_CASE("A repeated record does not restore a resource that was deleted meanwhile",
          "[config][acceptance]")
{
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  const PublishRecord creation = NewLimitsRecord(*base, "late");
  const ConfigStatePtr created = Publish(*base, 2, creation);
  PublishRecord deletion = NewLimitsRecord(*created, "late");
  deletion.changes_[0] = { { ResourceKind::kLimits, "late" }, Version(2), std::nullopt };
  const ConfigStatePtr deleted = Publish(*created, 3, deletion);
  const AcceptResult repeated = Accept(*deleted, Offset(4), EncodePublishRecord(creation));
  CHECK(repeated.outcome_ == AcceptOutcome::kConflict);
  CHECK(
    Accept(*deleted, Offset(4), EncodePublishRecord(NewLimitsRecord(*deleted, "late"))).outcome_ ==
    AcceptOutcome::kAccepted);

  SECTION("also after the tombstone has been purged")
  {
    const std::uint64_t offset = 4 + kMaxBaseAge;
    const ConfigStatePtr later =
      Publish(*deleted, offset, NewLimitsRecord(*deleted, "x", offset - 1));
    REQUIRE(later->deleted_.empty());
    CHECK(Accept(*later, Offset(offset + 1), EncodePublishRecord(creation)).outcome_ ==
          AcceptOutcome::kInvalid);
  }
}

TEST_CASE("A record whose offset is not above the state's version is not evaluated",
          "[config][acceptance]")
{
  const ConfigStatePtr base = Publish({}, 5, ShopRecord());
  CHECK(Accept(*base, Offset(5), EncodePublishRecord(SlotsRecord(*base, 5))).outcome_ ==
        AcceptOutcome::kOld);
}

TEST_CASE("Malformed, corrupted and oversized records are reported as garbage",
          "[config][acceptance]")
{
  const std::string valid = EncodePublishRecord(ShopRecord());
  std::string oversized = valid;
  oversized.resize(10'000'000, 'x');
  CHECK(Accept({}, Offset(1), "").outcome_ == AcceptOutcome::kGarbage);
  CHECK(Accept({}, Offset(1), "hello").outcome_ == AcceptOutcome::kGarbage);
  CHECK(Accept({}, Offset(1), valid.substr(0, valid.size() - 1)).outcome_ ==
        AcceptOutcome::kGarbage);
  CHECK(Accept({}, Offset(1), oversized).outcome_ == AcceptOutcome::kGarbage);
  for (std::size_t index = 0; index < valid.size(); ++index) {
    std::string corrupted = valid;
    corrupted[index] ^= 1;
    CHECK(Accept({}, Offset(1), corrupted).outcome_ == AcceptOutcome::kGarbage);
  }
}
