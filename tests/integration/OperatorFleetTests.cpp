#include "dandelionstand/config/Document.h"
#include "tests/integration/ConfigurationFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace dandelionstand;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

constexpr int kOperators = 4;
constexpr int kRounds = 15;

//! Publishes a change to the operator's own route in even rounds and to the shared route r9 in odd
//! ones, built on the log's current state. Repeats the publish if its answer is lost.
void PublishCompetingChange(Publisher& aPublisher, int aOperator, int aRound)
{
  aPublisher.Refresh();
  nlohmann::json document = aPublisher.Document();
  const std::string ownRoute = "r" + std::to_string(aOperator);
  const std::string changedRoute = aRound % 2 == 0 ? ownRoute : "r9";
  document["routes"][changedRoute]["timeout_ms"] = 2000 + 10 * aRound + aOperator;
  if (aPublisher.Publish(document) == 0) {
    aPublisher.RepeatLast();
  }
}

nlohmann::json KatalogDocument()
{
  nlohmann::json document = UniformTimeoutDocument({ 0 }, 2000);
  document["endpoints"] = { { "katalog", { { "limits", "l0" } } } };
  document["routes"]["r0"]["path_prefix"] = "/katalog";
  document["routes"]["r0"]["endpoints"] = "katalog";
  return document;
}

//! Starts a target beside a daemon and announces it once.
std::unique_ptr<Process> StartAnnouncedTarget(Fleet& aFleet, FleetInstance& aInstance)
{
  const std::string address = aInstance.Addresses().target_.Get();
  auto target = std::make_unique<Process>(
    "standin-target",
    std::vector<std::string>{ "--listen", address, "--service", "katalog" },
    aFleet.Folder().Path() / (aInstance.Name() + ".target.log"));
  target->WaitForField("listening", "address");
  PostJson(aInstance.Addresses().admin_,
           "/target/announce",
           { { "service", "katalog" }, { "address", address }, { "ready", true } });
  return target;
}

//! State of a member according to aObserver's dump.
std::string MemberStateSeenBy(const std::string& aMember, const FleetInstance& aObserver)
{
  const nlohmann::json dump = aObserver.Dump();
  for (const nlohmann::json& member : dump.at("members")) {
    if (member.at("instance") == aMember) {
      return member.at("state");
    }
  }
  return "unknown";
}

//! Sends one call through each daemon until one fails; true if all are answered with 200.
bool CallThroughAll(Fleet& aFleet, int aRound)
{
  return std::all_of(aFleet.begin(), aFleet.end(), [&](const FleetInstance& aInstance) {
    const std::string identity = aInstance.Name() + "-" + std::to_string(aRound);
    return aInstance
             .Get("/katalog/cushions?bytes=200",
                  { .headers_ = { { "Request-Identity", identity } } })
             .status_ == 200;
  });
}

} // namespace

TEST_CASE("Racing operators get one winner per resource, and lost answers do not change the result",
          "[integration][configuration][operators]")
{
  Fleet fleet(ConfigurationFleet(1));
  fleet.Start();
  Publisher first(fleet, "first");
  first.Publish(UniformTimeoutDocument({ 0, 1, 2, 3, 9 }, 1000));
  fleet.ControlLog({ { "lose_answers", 20 }, { "lose_answers_stream", "config" } });
  std::vector<std::thread> operators;
  for (int i = 0; i < kOperators; ++i) {
    operators.emplace_back([&fleet, i] {
      Publisher publisher(fleet, "operator" + std::to_string(i));
      for (int round = 0; round < kRounds; ++round) {
        PublishCompetingChange(publisher, i, round);
      }
    });
  }
  for (std::thread& thread : operators) {
    thread.join();
  }
  const LogReplay replay = ReplayLog(fleet);
  for (const auto& [id, accepted] : replay.acceptedById_) {
    CHECK(accepted == 1);
  }
  // Changes to the operators' own routes do not conflict, so each one is accepted.
  for (int i = 0; i < kOperators; ++i) {
    const std::string prefix = "operator" + std::to_string(i) + "-";
    for (int round = 0; round < kRounds; round += 2) {
      CHECK(replay.acceptedById_.count(prefix + std::to_string(round + 1)) == 1);
    }
  }
  REQUIRE(
    WaitUntilActive(RunningInstances(fleet), replay.state_->version_.Get(), kGenerousTimeout));
  const nlohmann::json reference = nlohmann::json::parse(config::WriteDocument(*replay.state_));
  for (FleetInstance& instance : fleet) {
    CHECK(instance.Dump()["config"]["document"] == reference);
  }
}

TEST_CASE(
  "A leaving target gets no new requests, at once through its daemon and after 3 s through others",
  "[integration][configuration][leaving]")
{
  FleetOptions options;
  options.regions_ = MakeRegions(3, 2, 2, { "katalog" });
  options.hasTargets_ = false;
  Fleet fleet(std::move(options));
  fleet.Start();
  // These targets do not announce themselves, so only the test announces and withdraws them.
  std::vector<std::unique_ptr<Process>> targets;
  for (FleetInstance& instance : fleet) {
    targets.push_back(StartAnnouncedTarget(fleet, instance));
  }
  Publisher publisher(fleet);
  REQUIRE(WaitUntilActive(
    RunningInstances(fleet), publisher.Publish(KatalogDocument()), kGenerousTimeout));
  REQUIRE(WaitUntil([&] { return CallThroughAll(fleet, 0); }));
  FleetInstance& leavingInstance = fleet["r2a-0"];
  const auto requestCount = [&] { return leavingInstance.TargetStat("requests"); };
  REQUIRE(WaitUntil([&] {
    CallThroughAll(fleet, 1);
    return requestCount() > 0;
  }));

  PostJson(leavingInstance.Addresses().admin_, "/target/leaving", nlohmann::json::object());
  const std::uint64_t countAtLeaving = requestCount();
  for (int i = 0; i < 20; ++i) {
    const std::string identity = "own-" + std::to_string(i);
    leavingInstance.Get("/katalog/cushions?bytes=200",
                        { .headers_ = { { "Request-Identity", identity } } });
  }
  CHECK(requestCount() == countAtLeaving);

  std::this_thread::sleep_for(3s);
  const std::uint64_t countBefore = requestCount();
  for (int round = 2; round < 30; ++round) {
    CHECK(CallThroughAll(fleet, round));
  }
  CHECK(requestCount() == countBefore);
  // Daemons in all failure domains see the target's instance as leaving.
  for (FleetInstance& instance : fleet) {
    CHECK(MemberStateSeenBy("r2a-0", instance) == "leaving");
  }
}
