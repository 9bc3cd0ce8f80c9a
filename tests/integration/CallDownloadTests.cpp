#include "CallFleet.h"

#include "tests/support/Wait.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kMiB = std::uint64_t{ 1 } << 20;
constexpr std::uint64_t kFileBytes = 64 * kMiB;

const std::string kFile = "/files/pattern?pattern=1&bytes=" + std::to_string(kFileBytes);

RequestOptions WithIdentity(const std::string& aIdentity)
{
  return { .headers_ = { { "Request-Identity", aIdentity } } };
}

std::future<HttpReply> DownloadAsync(const FleetInstance& aInstance, const std::string& aIdentity)
{
  return std::async(std::launch::async, [&aInstance, aIdentity] {
    return aInstance.Get(kFile, WithIdentity(aIdentity));
  });
}

//! The instance, except aEntryInstance, whose target is sending the download; null if there is
//! none.
FleetInstance* FindSender(Fleet& aFleet, const FleetInstance& aEntryInstance)
{
  for (FleetInstance& instance : aFleet) {
    if (&instance == &aEntryInstance || !instance.IsRunning()) {
      continue;
    }
    const HttpReply stats = HttpGet(instance.Addresses().target_, "/stats");
    if (stats.status_ == 200 && stats.Json()["in_flight"].get<std::uint64_t>() > 0) {
      return &instance;
    }
  }
  return nullptr;
}

FleetInstance* WaitForSender(Fleet& aFleet, const FleetInstance& aEntryInstance)
{
  FleetInstance* sender = nullptr;
  WaitUntil([&] {
    sender = FindSender(aFleet, aEntryInstance);
    return sender != nullptr;
  });
  return sender;
}

} // namespace

TEST_CASE("An undisturbed download takes one attempt", "[integration][calls][download]")
{
  CallFleet calls(1, 2);
  Fleet& fleet = calls.fleet_;
  FleetInstance& entryInstance = fleet[0];
  entryInstance.ControlTarget({ { "ready", false } });
  REQUIRE(WaitUntil([&] { return entryInstance.Get("/browse").status_ == 200; }));
  const std::uint64_t before = entryInstance.Metric("dandelion_caller_attempts_total");
  const HttpReply reply = entryInstance.Get(kFile, WithIdentity("file"));
  CHECK(reply.status_ == 200);
  CHECK(reply.body_.size() == kFileBytes);
  CHECK(entryInstance.Metric("dandelion_caller_attempts_total") == before + 1);
}

TEST_CASE("A download survives the loss of a target and of a daemon and delivers the complete file",
          "[integration][calls][download]")
{
  // The called daemon has no ready target, so another instance sends the file.
  CallFleet calls(1, 4);
  Fleet& fleet = calls.fleet_;
  FleetInstance& entryInstance = fleet[0];
  entryInstance.ControlTarget({ { "ready", false } });
  const HttpReply directReply = HttpGet(fleet[1].Addresses().target_, kFile, WithIdentity("file"));
  REQUIRE(directReply.body_.size() == kFileBytes);
  for (FleetInstance& instance : fleet) {
    instance.ControlTarget({ { "piece_delay_ms", 3 } });
  }
  auto download = DownloadAsync(entryInstance, "file");
  FleetInstance* sender = WaitForSender(fleet, entryInstance);
  REQUIRE(sender != nullptr);
  std::this_thread::sleep_for(300ms);
  sender->KillTarget();
  sender = WaitForSender(fleet, entryInstance);
  REQUIRE(sender != nullptr);
  std::this_thread::sleep_for(300ms);
  sender->Kill();
  const HttpReply reply = download.get();
  CHECK(reply.status_ == 200);
  CHECK(reply.body_.size() == kFileBytes);
  CHECK((reply.body_ == directReply.body_));
}

TEST_CASE("A download whose content differs at the next target ends in a visible error",
          "[integration][calls][download]")
{
  CallFleet calls(1, 2);
  Fleet& fleet = calls.fleet_;
  fleet[0].ControlTarget({ { "content_version", 2 }, { "piece_delay_ms", 3 } });
  fleet[1].ControlTarget({ { "piece_delay_ms", 3 } });
  auto download = DownloadAsync(fleet[0], "changed");
  std::this_thread::sleep_for(500ms);
  for (FleetInstance& instance : fleet) {
    const HttpReply stats = HttpGet(instance.Addresses().target_, "/stats");
    if (stats.Json()["in_flight"].get<std::uint64_t>() > 0) {
      instance.KillTarget();
      break;
    }
  }
  CHECK(download.get().status_ == 0);
}
