#include "SpreadingBus.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace dandelionstand;
using namespace std::chrono_literals;
using tests::SpreadingBus;

namespace {

constexpr int kPerDomain = 3;
constexpr std::uint64_t kSeeds = 10;
//! Everybody reachable has an accepted record after this time at the latest.
constexpr common::Duration kInForce = 5s;

peer::SpreadingSettings AnyProfile()
{
  return peer::MakeSpreadingSettings(GENERATE("time", "bytes"), "tree");
}

common::Offset Tail(SpreadingBus& aBus)
{
  return common::Offset(aBus.Log().Next().Get() - 1);
}

bool Converges(SpreadingBus& aBus, common::Duration aWithin = kInForce)
{
  return aBus.RunUntil([&] { return aBus.AllAt(Tail(aBus)); }, aWithin);
}

void StartSettled(SpreadingBus& aBus)
{
  for (int i = 0; i < 5; ++i) {
    aBus.Log().Append("record");
  }
  aBus.StartFleet(kPerDomain);
  REQUIRE(Converges(aBus, 10s));
  REQUIRE(aBus.RunUntil([&] { return aBus.AllServe(); }, 10s));
  aBus.RunFor(5s);
  REQUIRE(aBus.Readers() == 3);
}

bool IsOfRegion(const std::string& aName, const std::string& aRegion)
{
  return aName.compare(0, aRegion.size(), aRegion) == 0;
}

} // namespace

TEST_CASE("A record reaches every daemon along the tree", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeeds)), AnyProfile());
  StartSettled(bus);
  CHECK(bus.RecordsAcrossRegions() == 0);
  const std::uint64_t reads = bus.LogReads();
  bus.Log().Append("record");
  CHECK(Converges(bus, 200ms));
  CHECK(bus.LogReads() - reads <= 3);
  CHECK(bus.RecordsAcrossRegions() == 0);
  CHECK(bus.Faults().empty());
}

TEST_CASE("Spreading is quiet at rest", "[spreading]")
{
  SpreadingBus bus(1, AnyProfile());
  StartSettled(bus);
  const std::uint64_t bytes = bus.BytesSent();
  const std::uint64_t reads = bus.LogReads();
  bus.RunFor(30s);
  CHECK((bus.BytesSent() - bytes) / 30 / bus.Names().size() < 150);
  CHECK((bus.LogReads() - reads) <= 3 * 15 + 3);
}

TEST_CASE("Spreading converges despite loss, duplication and reordering", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeeds)), AnyProfile());
  StartSettled(bus);
  bus.Messages().SetFaults({ 0.2, 0.3, 400ms });
  for (int i = 0; i < 100; ++i) {
    bus.Log().Append("record");
    bus.RunFor(100ms);
  }
  bus.Messages().SetFaults({ 0, 0, 20ms });
  CHECK(Converges(bus));
  CHECK(bus.Faults().empty());
}

TEST_CASE("A record comes through although every head dies at once", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeeds)), AnyProfile());
  StartSettled(bus);
  for (const char* region : { "r0", "r1", "r2" }) {
    bus.Kill(bus.HeadOf(region));
  }
  // The members still count the heads as alive.
  bus.Log().Append("record");
  CHECK(Converges(bus));
  CHECK(bus.Faults().empty());

  SECTION("One reader a region is left once the deaths are known")
  {
    bus.UpdateMembers();
    bus.RunFor(10s);
    CHECK(bus.Readers() == 3);
  }
}

TEST_CASE("A paused head is stood in for and comes back without effect", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeeds)), AnyProfile());
  StartSettled(bus);
  const std::string head = bus.HeadOf("r1");
  bus.Pause(head);
  bus.RunFor(300ms);
  bus.Log().Append("record");
  bus.RunFor(kInForce);
  const auto atTail = [&](const std::string& aName) {
    return aName == head || bus.At(aName).Position() == Tail(bus);
  };
  const std::vector<std::string> names = bus.Names();
  CHECK(std::all_of(names.begin(), names.end(), atTail));
  bus.RunFor(20s);
  bus.Log().Append("record");
  bus.Continue(head);
  CHECK(Converges(bus));
  bus.RunFor(10s);
  CHECK(bus.Readers() == 3);
  CHECK(bus.Faults().empty());
}

TEST_CASE("A region cut off from all converges after the heal", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeeds)), AnyProfile());
  StartSettled(bus);
  bus.Messages().SetPartition([](const common::Address& aFrom, const common::Address& aTo) {
    return IsOfRegion(aFrom.Get(), "r2") != IsOfRegion(aTo.Get(), "r2");
  });
  bus.SetLogReach([](const std::string& aName) { return !IsOfRegion(aName, "r2"); });
  bus.Log().Append("record");
  bus.RunFor(30s);
  bus.Messages().HealPartition();
  bus.SetLogReach(nullptr);
  CHECK(Converges(bus));
  CHECK(bus.Faults().empty());
}

TEST_CASE("A region that loses the log alone follows another region", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeeds)), AnyProfile());
  StartSettled(bus);
  bus.SetLogReach([](const std::string& aName) { return !IsOfRegion(aName, "r2"); });
  bus.RunFor(10s);
  bus.Log().Append("record");
  CHECK(Converges(bus));
  CHECK(bus.Faults().empty());
}

TEST_CASE("A failure domain cut off from its region reads the log itself", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeeds)), AnyProfile());
  StartSettled(bus);
  const std::string head = bus.HeadOf("r0");
  const std::string other = IsOfRegion(head, "r0d0") ? "r0d1" : "r0d0";
  bus.Messages().SetPartition([&](const common::Address& aFrom, const common::Address& aTo) {
    return IsOfRegion(aFrom.Get(), other) != IsOfRegion(aTo.Get(), other);
  });
  bus.Log().Append("record");
  CHECK(Converges(bus));
}

TEST_CASE("An outage of the log ends in force within 5 s", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeeds)), AnyProfile());
  StartSettled(bus);
  bus.SetLogReach([](const std::string&) { return false; });
  bus.RunFor(60s);
  bus.Log().Append("record");
  const std::uint64_t reads = bus.LogReads();
  bus.SetLogReach(nullptr);
  CHECK(Converges(bus));
  CHECK(bus.LogReads() - reads < 60);
  CHECK(bus.Faults().empty());
}

TEST_CASE("A restart of the whole fleet spares the log", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeeds)), AnyProfile());
  StartSettled(bus);
  const std::uint64_t reads = bus.LogReads();
  bus.StartFleet(kPerDomain);
  CHECK(Converges(bus));
  CHECK(bus.RunUntil([&] { return bus.AllServe(); }, 5s));
  CHECK(bus.LogReads() - reads <= 12);
  CHECK(bus.Faults().empty());
}

TEST_CASE("A daemon restarted without the log serves what its peers have", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeeds)), AnyProfile());
  StartSettled(bus);
  bus.SetLogReach([](const std::string&) { return false; });
  bus.RunFor(5s);
  bus.Start("r1d1i0", "r1d1", "r1");
  bus.UpdateMembers();
  CHECK(bus.RunUntil([&] { return bus.AllServe(); }, 10s));
  CHECK(Converges(bus));
  CHECK(bus.Faults().empty());
}

TEST_CASE("Without the log and without a peer that serves nobody serves", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeeds)), AnyProfile());
  StartSettled(bus);
  bus.SetLogReach([](const std::string&) { return false; });
  for (const std::string& name : bus.Names()) {
    bus.Kill(name);
  }
  // What the earlier incarnations sent must not arrive at the next ones.
  bus.RunFor(1s);
  bus.StartFleet(kPerDomain);
  bus.RunFor(20s);
  for (const std::string& name : bus.Names()) {
    const peer::VersionFloor::Decision decision = bus.At(name).MayServe(bus.Now());
    CHECK_FALSE(decision.mayServe_);
    CHECK(decision.reason_ == peer::ServeReason::kNoLogNorPeers);
  }
  bus.SetLogReach(nullptr);
  CHECK(bus.RunUntil([&] { return bus.AllServe(); }, 5s));
  CHECK(bus.Faults().empty());
}

TEST_CASE("A newcomer gets what the log has lost from its peers", "[spreading]")
{
  SpreadingBus bus(GENERATE(range(std::uint64_t{ 1 }, kSeeds)), AnyProfile());
  StartSettled(bus);
  bus.Log().DropBelow(6);
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
  StartSettled(bus);
  peer::wire::SpreadingMessage message;
  message.set_kind(peer::wire::REPLY);
  message.set_position(2);
  message.mutable_snapshot()->set_through(2);
  for (const std::string& name : bus.Names()) {
    bus.Handle(
      name,
      peer::SpreadingReceived{ common::InstanceId("r0d0i0"), common::Address("r0d0i0"), message });
  }
  CHECK(bus.AllAt(Tail(bus)));
  CHECK(bus.Faults().empty());
}
