#include "dandelionstand/config/Compression.h"
#include "dandelionstand/config/Delta.h"
#include "dandelionstand/config/Snapshot.h"
#include "dandelionstand/config/StreamRecord.h"
#include "dandelionstand/config/Validate.h"

#include "ConfigFixtures.h"
#include "RandomLog.h"

#include <catch2/catch.hpp>

#include <random>

using namespace dandelionstand::common;
using namespace dandelionstand::config;
using namespace dandelionstand::tests;

TEST_CASE("The hash of a state depends on its version, values, resource versions and tombstones",
          "[config][hash]")
{
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  const StateHash hash = HashOf(*base);
  CHECK(HashOf(ConfigState(*base)) == hash);
  ConfigState other = *base;
  other.version_ = Version(2);
  CHECK(HashOf(other) != hash);
  other = *base;
  other.limits_.at(LimitsName("shop")).value_.slots_ += 1;
  CHECK(HashOf(other) != hash);
  other = *base;
  other.limits_.at(LimitsName("shop")).version_ = Version(9);
  CHECK(HashOf(other) != hash);
  other = *base;
  other.deleted_[{ ResourceKind::kLimits, "x" }] = Version(1);
  CHECK(HashOf(other) != hash);
}

TEST_CASE("A decoded snapshot has the encoded state, applied offset and hash", "[config][snapshot]")
{
  const RandomLog log = MakeRandomLog(7, 60);
  const ConfigState& state = *log.states_.back();
  const std::string record = EncodeSnapshot(state, Offset(60));
  Findings findings;
  const auto snapshot = DecodeSnapshotRecord(record, "peer", findings);
  REQUIRE(findings.ToString() == "");
  CHECK(*snapshot->state_ == state);
  CHECK(snapshot->appliedOffset_ == Offset(60));
  CHECK(snapshot->hash_ == HashOf(state));
}

TEST_CASE("A snapshot with a dangling reference or a wrong hash is refused", "[config][snapshot]")
{
  ConfigState invalid = *Publish({}, 1, ShopRecord());
  invalid.limits_.clear();
  Findings findings;
  CHECK_FALSE(DecodeSnapshotRecord(EncodeSnapshot(invalid, Offset(1)), "peer", findings));
  CHECK(findings.ToString() == "peer: endpoints.shop.limits: no limits named 'shop'\n");

  const std::string good = EncodeSnapshot(*Publish({}, 1, ShopRecord()), Offset(1));
  std::string body = DecodeStreamRecord(good, "", findings)->body_;
  for (char& byte : body) {
    byte ^= 1;
    Findings ignored;
    const auto decoded = DecodeSnapshot(body, "", ignored);
    CHECK((!decoded || HashOf(*decoded->state_) == decoded->hash_));
    byte ^= 1;
  }
}

TEST_CASE("A snapshot with a resource or tombstone above its version is refused",
          "[config][snapshot]")
{
  ConfigState state = *Publish({}, 1, ShopRecord());
  SECTION("a resource")
  {
    state.limits_.at(LimitsName("shop")).version_ = Version(2);
  }
  SECTION("a tombstone")
  {
    state.deleted_[{ ResourceKind::kRoute, "gone" }] = Version(2);
  }
  Findings findings;
  CHECK_FALSE(DecodeSnapshotRecord(EncodeSnapshot(state, Offset(9)), "peer", findings));
  CHECK(findings.ToString() == "peer: has resources or tombstones newer than its version\n");
}

TEST_CASE("Every valid state fits into a snapshot record, even if it hardly compresses",
          "[config][snapshot]")
{
  constexpr std::uint64_t kBatch = 50;
  std::mt19937_64 random(5);
  const auto randomText = [&random](std::size_t aCount, char aFirst, int aRange) {
    std::string text;
    while (text.size() < aCount) {
      text += static_cast<char>(aFirst + static_cast<int>(random() % aRange));
    }
    return text;
  };
  ConfigState state = ShopState();
  ConfigState valid;
  std::uint64_t added = 0;
  for (Findings findings; findings.IsEmpty(); ++added) {
    if (added % kBatch == 0) {
      Validate(state, MakePlaceLookup("test"), findings);
      valid = findings.IsEmpty() ? state : valid;
    }
    if (added % 2 == 0) {
      Route route = DanglingRoute();
      route.endpoints_ = ServiceName("shop");
      route.pathPrefix_ = "/" + randomText(255, '$', 30);
      route.methods_ = { "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT" };
      route.idempotency_ = Idempotency::kIdempotent;
      route.timeout_ = std::chrono::hours(1);
      state.routes_[RouteName(randomText(64, 'A', 26))] = { route, Version(~0ULL >> 1) };
    } else {
      state.deleted_[{ ResourceKind::kRoute, randomText(64, 'a', 26) }] = Version(~0ULL >> 1);
    }
  }
  valid.version_ = Version(~0ULL >> 1);
  CHECK(added > 1'000);
  CHECK(EncodeSnapshot(valid, Offset(~0ULL)).size() <= kMaxRecordBytes);
}

TEST_CASE("A delta contains only the last value of each changed resource", "[config][delta]")
{
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  ConfigStatePtr state = base;
  for (std::uint32_t slots = 5; slots < 15; ++slots) {
    state = Publish(*state, state->version_.Get() + 1, SlotsRecord(*state, slots));
  }
  const auto delta = DeltaSince(*state, Offset(11), base->version_);
  REQUIRE(delta);
  CHECK(delta->changed_.size() == 1);
  CHECK(*ApplyDelta(*base, *delta) == *state);
  CHECK_FALSE(DeltaSince(*state, Offset(11), state->version_));
}

TEST_CASE("A delta between any two versions of a log yields the later state",
          "[config][delta][property]")
{
  const RandomLog log = MakeRandomLog(11, 80);
  bool hasDeletions = false;
  for (std::size_t to = 0; to < log.states_.size(); ++to) {
    for (std::size_t from = 0; from < to; ++from) {
      const auto delta = DeltaSince(*log.states_[to], Offset(to + 1), log.states_[from]->version_);
      if (delta) {
        hasDeletions = hasDeletions || !delta->deleted_.empty();
        const ConfigStatePtr next = ApplyDelta(*log.states_[from], *delta);
        REQUIRE(next != nullptr);
        REQUIRE(*next == *log.states_[to]);
      }
    }
  }
  CHECK(hasDeletions);
}

TEST_CASE("A delta that starts at another version or yields another hash is refused",
          "[config][delta]")
{
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  const ConfigStatePtr next = Publish(*base, 2, SlotsRecord(*base, 5));
  Delta delta = *DeltaSince(*next, Offset(2), Version(1));
  CHECK(ApplyDelta(*next, delta) == nullptr);
  delta.changed_.clear();
  CHECK(ApplyDelta(*base, delta) == nullptr);
}

TEST_CASE("A compressed text that exceeds the decompressed size limit is refused",
          "[config][compression]")
{
  const std::string zeros(kMaxDecompressedBytes + 1, '\0');
  const std::string compressed = Compress(zeros);
  REQUIRE(compressed.size() < 10'000);
  CHECK_FALSE(Decompress(compressed));
  CHECK(Decompress(Compress("short")) == "short");
  CHECK_FALSE(Decompress(""));
  CHECK_FALSE(Decompress("zzz"));
}
