#include "DocumentFleet.h"

#include <catch2/catch.hpp>

#include <random>

using namespace dandelionstand;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

//! Time within which a version must be active; see MakeDocumentReadersSettings() in DocumentFleet.
constexpr common::Duration kApplyLimit = 2s;
//! Store calls of a fleet in which each daemon polls for itself, 1.85 s a poll and once a version.
std::uint64_t CallsIfAllPolled(std::size_t aDaemons, common::Duration aTime, int aVersions)
{
  return aDaemons *
         (1 + static_cast<std::uint64_t>(aTime / 1'850ms) + static_cast<std::uint64_t>(aVersions));
}

} // namespace

TEST_CASE("Store calls do not grow with the daemons of a calm fleet", "[peer][document]")
{
  const std::size_t daemons = GENERATE(18, 195, 300, 1'400);
  constexpr int kVersions = 40;
  constexpr std::uint64_t kPolls = 41; // 41 s, at most one in 1.1 s by each reader.
  constexpr std::uint64_t kReaders = 2;
  DocumentFleet fleet(daemons, 1);
  for (int version = 0; version < kVersions; ++version) {
    fleet.RunFor(1s);
    fleet.Publish();
  }
  fleet.RunFor(1s);
  const std::uint64_t calls = fleet.StoreCalls() - daemons; // Without the read at each start.
  CAPTURE(daemons, calls);
  CHECK(calls <= kReaders * (kVersions + kPolls + 2));
  CHECK(fleet.StoreCalls() * 5 < CallsIfAllPolled(daemons, 41s, kVersions));
  CHECK(fleet.MaxLag() < 300ms);
}

TEST_CASE("A version is active in time everywhere if its readers fail just before it is written",
          "[peer][document]")
{
  const std::size_t daemons = GENERATE(18, 195);
  DocumentFleet fleet(daemons, GENERATE(range(1, 6)));
  fleet.RunFor(5s);
  const std::vector<std::string> readers = fleet.RankedReaders();
  REQUIRE(readers.size() == 2);
  SECTION("they are killed")
  {
    for (const std::string& name : readers) {
      fleet.Kill(name);
    }
    fleet.Publish();
    fleet.RunFor(5s);
    CHECK(fleet.MaxLag() < kApplyLimit);
  }
  SECTION("they are cut off from the store")
  {
    for (const std::string& name : readers) {
      fleet.CutFromStore(name);
    }
    fleet.Publish();
    fleet.RunFor(5s);
    CHECK(fleet.MaxLag() < kApplyLimit);
  }
  SECTION("they are paused")
  {
    for (const std::string& name : readers) {
      fleet.Pause(name);
    }
    fleet.Publish();
    fleet.RunFor(5s);
    CHECK(fleet.MaxLag() < kApplyLimit);
    // They resume behind, and must not hide the next version from the others.
    for (const std::string& name : readers) {
      fleet.Resume(name);
    }
    fleet.RunFor(100ms);
    fleet.Publish();
    fleet.RunFor(3s);
    CHECK(fleet.MaxLag() < kApplyLimit);
  }
  SECTION("the backups of all daemons are lost one after the other")
  {
    for (int round = 0; round < 4; ++round) {
      for (const std::string& name : fleet.RankedReaders()) {
        fleet.Kill(name);
      }
      fleet.Publish();
      fleet.RunFor(2500ms);
      fleet.UpdateMembers();
    }
    CHECK(fleet.MaxLag() < kApplyLimit);
  }
  CHECK_FALSE(fleet.HasRegressed());
}

TEST_CASE("A daemon that reaches the store but no peer has a version in time", "[peer][document]")
{
  DocumentFleet fleet(18, 1);
  fleet.RunFor(5s);
  std::vector<std::string> cut = fleet.All();
  cut.resize(5);
  fleet.CutFromPeers({ cut.begin(), cut.end() });
  for (int version = 0; version < 5; ++version) {
    fleet.Publish();
    fleet.RunFor(2s);
  }
  CHECK(fleet.MaxLag() < kApplyLimit);
  SECTION("it stops polling once it reaches its peers again")
  {
    fleet.HealPeers();
    fleet.RunFor(3s);
    const std::uint64_t callsBefore = fleet.StoreCalls();
    fleet.RunFor(10s);
    CHECK(fleet.StoreCalls() - callsBefore <= 22);
  }
}

TEST_CASE("A fleet whose members are not known yet gets each version in time", "[peer][document]")
{
  DocumentFleet fleet(195, 3);
  // Messages to nobody: every daemon takes over by itself.
  const std::vector<std::string> all = fleet.All();
  fleet.CutFromPeers({ all.begin(), all.end() });
  fleet.RunFor(1s);
  fleet.Publish();
  fleet.RunFor(3s);
  CHECK(fleet.MaxLag() < kApplyLimit);
}

TEST_CASE("Versions are active in time under random losses, pauses and partitions",
          "[peer][document][replay]")
{
  const int seed = GENERATE(range(1, 101));
  CAPTURE(seed);
  DocumentFleet fleet(9, static_cast<std::uint64_t>(seed));
  fleet.SetFaults({ .loss_ = 0.02, .duplication_ = 0.02, .maxDelay_ = 25ms });
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  const std::vector<std::string> all = fleet.All();
  std::vector<std::string> cut;
  for (int step = 0; step < 60; ++step) {
    const std::string& name = all[random() % all.size()];
    switch (random() % 6) {
      case 0:
        fleet.CutFromStore(name);
        cut.push_back(name);
        break;
      case 1:
        for (const std::string& reconnected : cut) {
          fleet.ReconnectToStore(reconnected);
        }
        cut.clear();
        break;
      case 2:
        fleet.CutFromPeers({ name, all[random() % all.size()] });
        break;
      case 3:
        fleet.HealPeers();
        break;
      default:
        fleet.Publish();
        break;
    }
    fleet.RunFor(std::chrono::milliseconds(random() % 700));
  }
  CHECK_FALSE(fleet.HasRegressed());
  CHECK(fleet.MaxLag() < kApplyLimit);
  fleet.HealPeers();
  for (const std::string& name : cut) {
    fleet.ReconnectToStore(name);
  }
  fleet.Publish();
  fleet.RunFor(kApplyLimit);
  const std::uint64_t callsBefore = fleet.StoreCalls();
  fleet.RunFor(10s);
  CHECK(fleet.StoreCalls() - callsBefore <= 25);
}
