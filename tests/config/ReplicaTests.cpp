#include "dandelionstand/config/Replica.h"

#include "ConfigFixtures.h"
#include "RandomLog.h"

#include <catch2/catch.hpp>

#include <random>

using namespace dandelionstand::common;
using namespace dandelionstand::config;
using namespace dandelionstand::tests;

namespace {

constexpr std::uint64_t kSeedCount = 40;
constexpr std::size_t kLogLength = 120;

std::size_t RandomIndex(std::mt19937_64& aRandom, std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(aRandom);
}

//! Delivers a record, a delta or a snapshot from a random point of the log.
void DeliverRandomUpdate(const RandomLog& aLog, std::mt19937_64& aRandom, Replica& aReplica)
{
  const std::size_t index = RandomIndex(aRandom, aLog.records_.size());
  const Offset appliedOffset(index + 1);
  const ConfigState& state = *aLog.states_[index];
  std::vector<EvaluatedRecord> evaluated;
  switch (RandomIndex(aRandom, 4)) {
    case 0:
      aReplica.OnRecord(Offset(index), aLog.records_[index]);
      return;
    case 1: {
      Findings findings;
      const auto snapshot =
        DecodeSnapshotRecord(EncodeSnapshot(state, appliedOffset), "", findings);
      REQUIRE(snapshot);
      aReplica.OnSnapshot(*snapshot, evaluated);
      return;
    }
    default: {
      const bool isFromReplicaVersion = RandomIndex(aRandom, 2) == 0;
      const Version from = isFromReplicaVersion
                             ? aReplica.State()->version_
                             : aLog.states_[RandomIndex(aRandom, index + 1)]->version_;
      const auto delta = DeltaSince(state, appliedOffset, from);
      Findings findings;
      if (delta) {
        aReplica.OnDelta(*DecodeDelta(EncodeDelta(*delta), "", findings), evaluated);
      }
    }
  }
}

} // namespace

TEST_CASE(
  "A replica's version never decreases with reordered or repeated records, deltas and snapshots",
  "[config][replica][property]")
{
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    INFO("seed " << seed);
    const RandomLog log = MakeRandomLog(seed, kLogLength);
    std::mt19937_64 random(seed);
    Replica replica;
    for (int step = 0; step < 200; ++step) {
      const Version before = replica.State()->version_;
      DeliverRandomUpdate(log, random, replica);
      REQUIRE(replica.State()->version_ >= before);
      REQUIRE(AreReferencesResolved(*replica.State()));
      if (replica.AppliedOffset().Get() > 0) {
        REQUIRE(*replica.State() == *log.states_[replica.AppliedOffset().Get() - 1]);
      }
    }
    CHECK(replica.Counts().diverged_ == 0);
  }
}

TEST_CASE("All readers of a log reach the same hash, also after a gap",
          "[config][replica][property]")
{
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    INFO("seed " << seed);
    const RandomLog log = MakeRandomLog(seed, kLogLength);
    Replica completeReader;
    ApplyRecords(completeReader, log, 0, kLogLength);
    accepted += completeReader.Counts().accepted_;
    refused += completeReader.Counts().refused_;
    std::mt19937_64 random(seed);

    Replica lateReader;
    const std::size_t first = 2 + RandomIndex(random, kLogLength / 2);
    lateReader.OnGap(Offset(first));
    ApplyRecords(lateReader, log, first - 1, kLogLength);
    REQUIRE_FALSE(lateReader.HasGap());
    CHECK(HashOf(*lateReader.State()) == HashOf(*completeReader.State()));

    Replica interruptedReader;
    ApplyRecords(interruptedReader, log, 0, RandomIndex(random, first));
    interruptedReader.OnGap(Offset(first));
    ApplyRecords(interruptedReader, log, first - 1, kLogLength);
    REQUIRE_FALSE(interruptedReader.HasGap());
    CHECK(HashOf(*interruptedReader.State()) == HashOf(*completeReader.State()));
  }
  // Guards against generated logs with too few accepted or refused records.
  CHECK(accepted > kSeedCount * 5);
  CHECK(refused > kSeedCount * 5);
}

TEST_CASE("A record that arrives before its predecessor is not applied", "[config][replica]")
{
  Replica replica;
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  const std::string second = EncodePublishRecord(SlotsRecord(*base, 5));
  replica.OnRecord(Offset(1), { Offset(2), second });
  CHECK(replica.Counts().outOfOrder_ == 1);
  replica.OnRecord(Offset(0), { Offset(1), EncodePublishRecord(ShopRecord()) });
  replica.OnRecord(Offset(1), { Offset(2), second });
  replica.OnRecord(Offset(1), { Offset(2), second });
  CHECK(replica.State()->version_ == Version(2));
  CHECK(replica.Counts().alreadyApplied_ == 1);
}

TEST_CASE("A gap that no snapshot covers stays open until it is force-closed", "[config][replica]")
{
  const RandomLog log = MakeRandomLog(3, 20);
  Replica replica;
  ApplyRecords(replica, log, 0, 5);
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

  SECTION("then a peer's snapshot that includes skipped records is adopted if it is newer")
  {
    std::vector<EvaluatedRecord> ignoredRecords;
    Findings findings;
    const auto further =
      DecodeSnapshotRecord(EncodeSnapshot(*log.states_[8], Offset(9)), "", findings);
    const AdoptOutcome outcome = replica.OnSnapshot(*further, ignoredRecords);
    const bool isNewer = log.states_[8]->version_ > log.states_[6]->version_;
    CHECK((outcome == AdoptOutcome::kAdopted) == isNewer);
  }
}

TEST_CASE("A snapshot with a version that the replica refused is refused and counted as diverged",
          "[config][replica]")
{
  Replica replica;
  replica.OnRecord(Offset(0), { Offset(1), EncodePublishRecord(ShopRecord()) });
  replica.OnRecord(Offset(1), { Offset(2), "garbage" });
  ConfigState other = *replica.State();
  other.version_ = Version(2);
  std::vector<EvaluatedRecord> ignoredRecords;
  Findings findings;
  const auto conflicting = DecodeSnapshotRecord(EncodeSnapshot(other, Offset(9)), "", findings);
  CHECK(replica.OnSnapshot(*conflicting, ignoredRecords) == AdoptOutcome::kRefused);
  CHECK(replica.State()->version_ == Version(1));
  CHECK(replica.Counts().diverged_ == 1);
}

TEST_CASE("A snapshot of a lower version does not replace the state", "[config][replica]")
{
  Replica replica;
  const ConfigStatePtr base = Publish({}, 1, ShopRecord());
  replica.OnRecord(Offset(0), { Offset(1), EncodePublishRecord(ShopRecord()) });
  replica.OnRecord(Offset(1), { Offset(2), EncodePublishRecord(SlotsRecord(*base, 5)) });
  std::vector<EvaluatedRecord> ignoredRecords;
  Findings findings;
  const auto old = DecodeSnapshotRecord(EncodeSnapshot(*base, Offset(9)), "", findings);
  replica.OnSnapshot(*old, ignoredRecords);
  CHECK(replica.State()->version_ == Version(2));
  CHECK(replica.Counts().diverged_ == 1);
}
