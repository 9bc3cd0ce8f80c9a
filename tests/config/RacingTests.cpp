#include "dandelionstand/config/Acceptance.h"

#include "ConfigFixtures.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace dandelionstand::common;
using namespace dandelionstand::config;
using namespace dandelionstand::tests;

namespace {

constexpr std::size_t kResourceCount = 6;

ResourceKey KeyOf(std::size_t aIndex)
{
  return { ResourceKind::kLimits, "r" + std::to_string(aIndex) };
}

//! A record that changes a random, non-empty subset of the resources.
PublishRecord RandomSubsetRecord(const ConfigState& aBase,
                                 std::size_t aId,
                                 std::mt19937_64& aRandom)
{
  PublishRecord record{ PublishId("p" + std::to_string(aId)), "operator", {}, aBase.version_, 0 };
  for (std::size_t index = 0; index < kResourceCount; ++index) {
    if (aRandom() % 3 == 0) {
      const Limits limits{ static_cast<std::uint32_t>(aId + 1) };
      record.changes_.push_back({ KeyOf(index), aBase.Find(KeyOf(index))->version_, limits });
    }
  }
  if (record.changes_.empty()) {
    record.changes_.push_back({ KeyOf(0), aBase.Find(KeyOf(0))->version_, Limits{} });
  }
  return record;
}

ConfigStatePtr BaseState()
{
  PublishRecord record{ PublishId("p0"), "operator", {}, Version(0), 0 };
  for (std::size_t index = 0; index < kResourceCount; ++index) {
    record.changes_.push_back({ KeyOf(index), Version(0), Limits{} });
  }
  return Publish({}, 1, record);
}

} // namespace

TEST_CASE(
  "Of concurrent records, each is accepted unless an accepted one changed the same resource",
  "[config][acceptance][property]")
{
  const ConfigStatePtr base = BaseState();
  std::size_t laterAccepted = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    ConfigStatePtr state = base;
    std::set<ResourceKey> changedKeys;
    const std::size_t publishers = 2 + random() % 4;
    for (std::size_t id = 0; id < publishers; ++id) {
      const PublishRecord record = RandomSubsetRecord(*base, id, random);
      const bool isWithoutConflict = std::none_of(
        record.changes_.begin(), record.changes_.end(), [&changedKeys](const Change& aChange) {
          return changedKeys.contains(aChange.key_);
        });
      const AcceptResult result = Accept(*state, Offset(2 + id), EncodePublishRecord(record));
      REQUIRE((result.outcome_ == AcceptOutcome::kAccepted) == isWithoutConflict);
      if (!isWithoutConflict) {
        REQUIRE(result.outcome_ == AcceptOutcome::kConflict);
        continue;
      }
      laterAccepted += id > 0 ? 1 : 0;
      state = result.nextState_;
      for (const Change& change : record.changes_) {
        changedKeys.insert(change.key_);
        REQUIRE(state->Find(change.key_)->version_ == Version(2 + id));
      }
    }
  }
  CHECK(laterAccepted > 20);
}
