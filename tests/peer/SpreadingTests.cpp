#include "SpreadingBus.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace dandelionstand;
using namespace std::chrono_literals;
using tests::SpreadingBus;

namespace {

constexpr int kDaemonsPerDomain = 3;
constexpr std::uint64_t kSeedEnd = 10;
//! Time within which every reachable daemon must have applied an appended record.
constexpr common::Duration kConvergenceTimeout = 5s;

peer::SpreadingSettings GenerateProfile()
{
  return peer::MakeSpreadingSettings(GENERATE("time", "bytes"), "tree");
}

common::Offset LogTail(SpreadingBus& aBus)
{
  return common::Offset(aBus.Log().NextOffset().Get() - 1);
}

bool Converges(SpreadingBus& aBus, common::Duration aTimeout = kConvergenceTimeout)
{
  return aBus.RunUntil([&] { return aBus.AllHaveApplied(LogTail(aBus)); }, aTimeout);
}

void StartSettledFleet(SpreadingBus& aBus)
{
  for (int i = 0; i < 5; ++i) {
    aBus.Log().Append("record");
  }
  aBus.StartFleet(kDaemonsPerDomain);
  REQUIRE(Converges(aBus, 10s));
  REQUIRE(aBus.RunUntil([&] { return aBus.AllServe(); }, 10s));
  aBus.RunFor(5s);
  REQUIRE(aBus.ReaderCount() == 3);
}

bool HasPrefix(const std::string& aName, const std::string& aPrefix)
{
  return aName.compare(0, aPrefix.size(), aPrefix) == 0;
}

} // namespace

TEST_CASE("A record reaches every daemon along the tree", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeedEnd)), GenerateProfile());
  StartSettledFleet(bus);
  CHECK(bus.RecordsAcrossRegions() == 0);
  const std::uint64_t reads = bus.LogReads();
  bus.Log().Append("record");
  CHECK(Converges(bus, 200ms));
  CHECK(bus.LogReads() - reads <= 3);
  CHECK(bus.RecordsAcrossRegions() == 0);
  CHECK(bus.Faults().empty());
}

TEST_CASE("Spreading sends few bytes and reads the log rarely while no record is appended",
          "[spreading]")
{
  SpreadingBus bus(1, GenerateProfile());
  StartSettledFleet(bus);
  const std::uint64_t bytes = bus.BytesSent();
  const std::uint64_t reads = bus.LogReads();
  bus.RunFor(30s);
  CHECK((bus.BytesSent() - bytes) / 30 / bus.Names().size() < 150);
  CHECK((bus.LogReads() - reads) <= 3 * 15 + 3);
}

TEST_CASE("Spreading converges despite loss, duplication and reordering", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeedEnd)), GenerateProfile());
  StartSettledFleet(bus);
  bus.Messages().SetFaults({ 0.2, 0.3, 400ms });
  for (int i = 0; i < 100; ++i) {
    bus.Log().Append("record");
    bus.RunFor(100ms);
  }
  bus.Messages().SetFaults({ 0, 0, 20ms });
  CHECK(Converges(bus));
  CHECK(bus.Faults().empty());
}

TEST_CASE("A record reaches every daemon after all region heads die at once", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeedEnd)), GenerateProfile());
  StartSettledFleet(bus);
  for (const char* region : { "r0", "r1", "r2" }) {
    bus.Kill(bus.HeadOf(region));
  }
  // Membership has not detected the deaths yet.
  bus.Log().Append("record");
  CHECK(Converges(bus));
  CHECK(bus.Faults().empty());

  SECTION("Each region has one reader once membership has detected the deaths")
  {
    bus.UpdateMembers();
    bus.RunFor(10s);
    CHECK(bus.ReaderCount() == 3);
  }
}

TEST_CASE("A backup reader replaces a paused region head until the head resumes", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeedEnd)), GenerateProfile());
  StartSettledFleet(bus);
  const std::string head = bus.HeadOf("r1");
  bus.Pause(head);
  bus.RunFor(300ms);
  bus.Log().Append("record");
  bus.RunFor(kConvergenceTimeout);
  const auto atTail = [&](const std::string& aName) {
    return aName == head || bus.SpreadingOf(aName).Position() == LogTail(bus);
  };
  const std::vector<std::string> names = bus.Names();
  CHECK(std::all_of(names.begin(), names.end(), atTail));
  bus.RunFor(20s);
  bus.Log().Append("record");
  bus.Resume(head);
  CHECK(Converges(bus));
  bus.RunFor(10s);
  CHECK(bus.ReaderCount() == 3);
  CHECK(bus.Faults().empty());
}

TEST_CASE("Each region returns to one reader after series of pauses", "[spreading][replay]")
{
  const auto seed = GENERATE(range(std::uint64_t{ 1 }, std::uint64_t{ 61 }));
  CAPTURE(seed);
  SpreadingBus bus(seed, GenerateProfile());
  StartSettledFleet(bus);
  std::mt19937_64 random(seed);
  const std::vector<std::string> names = bus.Names();
  for (int round = 0; round < 3; ++round) {
    for (const std::string& name : names) {
      if (random() % 3 == 0) {
        bus.Pause(name);
      }
    }
    bus.RunFor(4s + std::chrono::milliseconds(random() % 1000));
    // The heartbeats of readers that resume at different times have different phases.
    for (const std::string& name : names) {
      bus.Resume(name);
      bus.RunFor(std::chrono::milliseconds(random() % 200));
    }
  }
  CHECK(bus.RunUntil([&] { return bus.ReaderCount() == 3; }, 20s));
}

TEST_CASE("A region cut off from the log and all peers converges after the partition heals",
          "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeedEnd)), GenerateProfile());
  StartSettledFleet(bus);
  bus.Messages().SetPartition([](const common::Address& aFrom, const common::Address& aTo) {
    return HasPrefix(aFrom.Get(), "r2") != HasPrefix(aTo.Get(), "r2");
  });
  bus.SetLogReachable([](const std::string& aName) { return !HasPrefix(aName, "r2"); });
  bus.Log().Append("record");
  bus.RunFor(30s);
  bus.Messages().HealPartition();
  bus.SetLogReachable(nullptr);
  CHECK(Converges(bus));
  CHECK(bus.Faults().empty());
}

TEST_CASE("A region that cannot reach the log follows another region", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeedEnd)), GenerateProfile());
  StartSettledFleet(bus);
  bus.SetLogReachable([](const std::string& aName) { return !HasPrefix(aName, "r2"); });
  bus.RunFor(10s);
  bus.Log().Append("record");
  CHECK(Converges(bus));
  CHECK(bus.Faults().empty());
}

TEST_CASE("A failure domain cut off from its region reads the log itself", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeedEnd)), GenerateProfile());
  StartSettledFleet(bus);
  const std::string head = bus.HeadOf("r0");
  const std::string other = HasPrefix(head, "r0d0") ? "r0d1" : "r0d0";
  bus.Messages().SetPartition([&](const common::Address& aFrom, const common::Address& aTo) {
    return HasPrefix(aFrom.Get(), other) != HasPrefix(aTo.Get(), other);
  });
  bus.Log().Append("record");
  CHECK(Converges(bus));
}

TEST_CASE("All daemons converge within 5 s after a log outage", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeedEnd)), GenerateProfile());
  StartSettledFleet(bus);
  bus.SetLogReachable([](const std::string&) { return false; });
  bus.RunFor(60s);
  bus.Log().Append("record");
  const std::uint64_t reads = bus.LogReads();
  bus.SetLogReachable(nullptr);
  CHECK(Converges(bus));
  CHECK(bus.LogReads() - reads < 60);
  CHECK(bus.Faults().empty());
}

TEST_CASE("A restart of the whole fleet causes few reads of the log", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeedEnd)), GenerateProfile());
  StartSettledFleet(bus);
  const std::uint64_t reads = bus.LogReads();
  bus.StartFleet(kDaemonsPerDomain);
  CHECK(Converges(bus));
  CHECK(bus.RunUntil([&] { return bus.AllServe(); }, 5s));
  CHECK(bus.LogReads() - reads <= 12);
  CHECK(bus.Faults().empty());
}

TEST_CASE("A daemon restarted during a log outage serves the state of its peers", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeedEnd)), GenerateProfile());
  StartSettledFleet(bus);
  bus.SetLogReachable([](const std::string&) { return false; });
  bus.RunFor(5s);
  bus.Start("r1d1i0", "r1d1", "r1");
  bus.UpdateMembers();
  CHECK(bus.RunUntil([&] { return bus.AllServe(); }, 10s));
  CHECK(Converges(bus));
  CHECK(bus.Faults().empty());
}

TEST_CASE("No daemon serves while neither the log nor a serving peer is reachable", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeedEnd)), GenerateProfile());
  StartSettledFleet(bus);
  bus.SetLogReachable([](const std::string&) { return false; });
  for (const std::string& name : bus.Names()) {
    bus.Kill(name);
  }
  // Messages of the earlier incarnations must not arrive at the new ones.
  bus.RunFor(1s);
  bus.StartFleet(kDaemonsPerDomain);
  bus.RunFor(20s);
  for (const std::string& name : bus.Names()) {
    const peer::VersionFloor::Decision decision = bus.SpreadingOf(name).MayServe(bus.Now());
    CHECK_FALSE(decision.mayServe_);
    CHECK(decision.reason_ == peer::ServeReason::kNoLogNorPeers);
  }
  bus.SetLogReachable(nullptr);
  CHECK(bus.RunUntil([&] { return bus.AllServe(); }, 5s));
  CHECK(bus.Faults().empty());
}

TEST_CASE("A new daemon fetches records that the log no longer has from its peers", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeedEnd)), GenerateProfile());
  StartSettledFleet(bus);
  bus.Log().DropRecordsBelow(6);
  bus.Start("r2d0i9", "r2d0", "r2");
  bus.UpdateMembers();
  CHECK(Converges(bus));
  bus.Log().Append("record");
  CHECK(Converges(bus));
  CHECK(bus.RunUntil([&] { return bus.AllServe(); }, 5s));
  CHECK(bus.Faults().empty());
}

TEST_CASE("An old snapshot has no effect", "[spreading]")
{
  SpreadingBus bus(3);
  StartSettledFleet(bus);
  peer::wire::SpreadingMessage message;
  message.set_kind(peer::wire::REPLY);
  message.set_position(2);
  message.mutable_snapshot()->set_through(2);
  for (const std::string& name : bus.Names()) {
    bus.Handle(name,
               peer::SpreadingMessageReceived{
                 common::InstanceId("r0d0i0"), common::Address("r0d0i0"), message });
  }
  CHECK(bus.AllHaveApplied(LogTail(bus)));
  CHECK(bus.Faults().empty());
}