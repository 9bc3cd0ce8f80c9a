#include "dandelionstand/config/Replica.h"

#include "ConfigFixtures.h"
#include "RandomLog.h"

#include <catch2/catch.hpp>

#include <random>

using namespace dandelionstand::common;
using namespace dandelionstand::config;
using namespace dandelionstand::tests;

namespace {

constexpr std::uint64_t kSeeds = 40;
constexpr std::size_t kLogLength = 120;

std::size_t Pick(std::mt19937_64& aRandom, std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(aRandom);
}

//! Hands over what a peer with a state of any age may send: a record, a delta or a snapshot.
void SendRandom(const LogScript& aLog, std::mt19937_64& aRandom, Replica& aReplica)
{
  const std::size_t index = Pick(aRandom, aLog.records_.size());
  const Offset through(index + 1);
  const ConfigState& state = *aLog.states_[index];
  std::vector<EvaluatedRecord> evaluated;
  switch (Pick(aRandom, 4)) {
    case 0:
      aReplica.OnRecord(Offset(index), aLog.records_[index]);
      return;
    case 1: {
      Findings findings;
      const auto snapshot = DecodeSnapshotRecord(EncodeSnapshot(state, through), "", findings);
      REQUIRE(snapshot);
      aReplica.OnSnapshot(*snapshot, evaluated);
      return;
    }
    default: {
      const bool isFromOwn = Pick(aRandom, 2) == 0;
      const Version from =
        isFromOwn ? aReplica.State()->version_ : aLog.states_[Pick(aRandom, index + 1)]->version_;
      const auto delta = DeltaSince(state, through, from);
      Findings findings;
      if (delta) {
        aReplica.OnDelta(*DecodeDelta(EncodeDelta(*delta), "", findings), evaluated);
      }
    }
  }
}

} // namespace

TEST_CASE("No order and no copy of records, deltas and snapshots takes a replica back",
          "[config][replica][property]")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const LogScript log = MakeLog(seed, kLogLength);
    std::mt19937_64 random(seed);
    Replica replica;
    for (int step = 0; step < 200; ++step) {
      const Version before = replica.State()->version_;
      SendRandom(log, random, replica);
      REQUIRE(replica.State()->version_ >= before);
      REQUIRE(IsClosed(*replica.State()));
      if (replica.AppliedOffset().Get() > 0) {
        REQUIRE(*replica.State() == *log.states_[replica.AppliedOffset().Get() - 1]);
      }
    }
    CHECK(replica.Counts().diverged_ == 0);
  }
}

TEST_CASE("Every reader of a log reaches the same hash", "[config][replica][property]")
{
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const LogScript log = MakeLog(seed, kLogLength);
    Replica whole;
    FoldInto(whole, log, 0, kLogLength);
    accepted += whole.Counts().accepted_;
    refused += whole.Counts().refused_;
    std::mt19937_64 random(seed);

    Replica late;
    const std::size_t first = 2 + Pick(random, kLogLength / 2);
    late.OnGap(Offset(first));
    FoldInto(late, log, first - 1, kLogLength);
    REQUIRE_FALSE(late.HasGap());
    CHECK(HashOf(*late.State()) == HashOf(*whole.State()));

    Replica interrupted;
    FoldInto(interrupted, log, 0, Pick(random, first));
    interrupted.OnGap(Offset(first));
    FoldInto(interrupted, log, first - 1, kLogLength);
    REQUIRE_FALSE(interrupted.HasGap());
    CHECK(HashOf(*interrupted.State()) == HashOf(*whole.State()));
  }
  // The logs hold both kinds of records in numbers.
  CHECK(accepted > kSeeds * 5);
  CHECK(refused > kSeeds * 5);
}

TEST_CASE("A record that comes before its predecessor is not folded", "[config][replica]")
{
  Replica replica;
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  const std::string second = EncodePublishRecord(SlotsRecord(*base, 5));
  replica.OnRecord(Offset(1), { Offset(2), second });
  CHECK(replica.Counts().missing_ == 1);
  replica.OnRecord(Offset(0), { Offset(1), EncodePublishRecord(ShopRecord()) });
  replica.OnRecord(Offset(1), { Offset(2), second });
  replica.OnRecord(Offset(1), { Offset(2), second });
  CHECK(replica.State()->version_ == Version(2));
  CHECK(replica.Counts().old_ == 1);
}

TEST_CASE("A gap that no snapshot bridges ends only by force", "[config][replica]")
{
  const LogScript log = MakeLog(3, 20);
  Replica replica;
  FoldInto(replica, log, 0, 5);
  const Version before = replica.State()->version_;
  replica.OnGap(Offset(10));
  replica.OnRecord(Offset(9), { Offset(10), "garbage" });
  replica.OnRecord(Offset(10), { Offset(11), EncodeSnapshot(*log.states_[6], Offset(7)) });
  CHECK(replica.HasGap());
  CHECK(replica.NextOffset() == Offset(12));
  CHECK(replica.State()->version_ == before);
  const std::vector<EvaluatedRecord> evaluated = replica.ForceCloseGap();
  CHECK(evaluated.size() == 2);
  CHECK_FALSE(replica.HasGap());
  CHECK(*replica.State() == *log.states_[6]);
  CHECK(replica.AppliedOffset() == Offset(11));

  SECTION("and a peer that had read further is still believed")
  {
    std::vector<EvaluatedRecord> none;
    Findings findings;
    const auto further =
      DecodeSnapshotRecord(EncodeSnapshot(*log.states_[8], Offset(9)), "", findings);
    const AdoptOutcome outcome = replica.OnSnapshot(*further, none);
    const bool isNewer = log.states_[8]->version_ > log.states_[6]->version_;
    CHECK((outcome == AdoptOutcome::kAdopted) == isNewer);
  }
}

TEST_CASE("A snapshot that contradicts the own fold is refused and counted", "[config][replica]")
{
  Replica replica;
  replica.OnRecord(Offset(0), { Offset(1), EncodePublishRecord(ShopRecord()) });
  replica.OnRecord(Offset(1), { Offset(2), "garbage" });
  ConfigState other = *replica.State();
  other.version_ = Version(2);
  std::vector<EvaluatedRecord> none;
  Findings findings;
  const auto foreign = DecodeSnapshotRecord(EncodeSnapshot(other, Offset(9)), "", findings);
  CHECK(replica.OnSnapshot(*foreign, none) == AdoptOutcome::kRefused);
  CHECK(replica.State()->version_ == Version(1));
  CHECK(replica.Counts().diverged_ == 1);
}

TEST_CASE("A snapshot of a lower version never replaces a state", "[config][replica]")
{
  Replica replica;
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  replica.OnRecord(Offset(0), { Offset(1), EncodePublishRecord(ShopRecord()) });
  replica.OnRecord(Offset(1), { Offset(2), EncodePublishRecord(SlotsRecord(*base, 5)) });
  std::vector<EvaluatedRecord> none;
  Findings findings;
  const auto old = DecodeSnapshotRecord(EncodeSnapshot(*base, Offset(9)), "", findings);
  replica.OnSnapshot(*old, none);
  CHECK(replica.State()->version_ == Version(2));
  CHECK(replica.Counts().diverged_ == 1);
}
