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

//! Changes the operator's own route and the one that all share, on the state that it sees.
void Race(Publisher& aPublisher, int aOperator, int aRound)
{
  aPublisher.Refresh();
  nlohmann::json document = aPublisher.Document();
  const std::string own = "r" + std::to_string(aOperator);
  const std::string changed = aRound % 2 == 0 ? own : "r9";
  document["routes"][changed]["timeout_ms"] = 2000 + 10 * aRound + aOperator;
  if (aPublisher.Publish(document) == 0) {
    aPublisher.Repeat();
  }
}

nlohmann::json KatalogDocument()
{
  nlohmann::json document = MarkedDocument({ 0 }, 2000);
  document["endpoints"] = { { "katalog", { { "limits", "l0" } } } };
  document["routes"]["r0"]["path_prefix"] = "/katalog";
  document["routes"]["r0"]["endpoints"] = "katalog";
  return document;
}

//! Starts a target beside the daemon and announces it once.
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

//! State of a member as a daemon sees it.
std::string StateOf(const std::string& aMember, const FleetInstance& aSeenBy)
{
  const nlohmann::json dump = aSeenBy.Dump();
  for (const nlohmann::json& member : dump.at("members")) {
    if (member.at("instance") == aMember) {
      return member.at("state");
    }
  }
  return "unknown";
}

//! One call through each daemon; true if all are answered.
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

TEST_CASE("Racing operators get one winner for each resource, and lost answers change nothing",
          "[integration][configuration][operators]")
{
  Fleet fleet(ConfigurationFleet(1));
  fleet.Start();
  Publisher first(fleet, "first");
  first.Publish(MarkedDocument({ 0, 1, 2, 3, 9 }, 1000));
  fleet.ControlLog({ { "lose_answers", 20 }, { "lose_answers_stream", "config" } });
  std::vector<std::thread> operators;
  for (int i = 0; i < kOperators; ++i) {
    operators.emplace_back([&fleet, i] {
      Publisher publisher(fleet, "operator" + std::to_string(i));
      for (int round = 0; round < kRounds; ++round) {
        Race(publisher, i, round);
      }
    });
  }
  for (std::thread& thread : operators) {
    thread.join();
  }
  const Folded folded = FoldLog(fleet);
  for (const auto& [id, accepted] : folded.acceptedById_) {
    CHECK(accepted == 1);
  }
  // Changes of the operators' own routes are disjoint, so each one landed.
  for (int i = 0; i < kOperators; ++i) {
    const std::string prefix = "operator" + std::to_string(i) + "-";
    for (int round = 0; round < kRounds; round += 2) {
      CHECK(folded.acceptedById_.count(prefix + std::to_string(round + 1)) == 1);
    }
  }
  REQUIRE(InForceOn(Running(fleet), folded.state_->version_.Get(), kGenerousDeadline));
  const nlohmann::json reference = nlohmann::json::parse(config::WriteDocument(*folded.state_));
  for (FleetInstance& instance : fleet) {
    CHECK(instance.Dump()["config"]["document"] == reference);
  }
}

TEST_CASE("A leaving target gets no new work after a few seconds, and at once through its daemon",
          "[integration][configuration][leaving]")
{
  FleetOptions options;
  options.regions_ = MakeRegions(3, 2, 2, { "katalog" });
  options.hasTargets_ = false;
  Fleet fleet(std::move(options));
  fleet.Start();
  // Targets without an announcer, so that nothing but this test announces and leaves.
  std::vector<std::unique_ptr<Process>> targets;
  for (FleetInstance& instance : fleet) {
    targets.push_back(StartAnnouncedTarget(fleet, instance));
  }
  Publisher publisher(fleet);
  REQUIRE(InForceOn(Running(fleet), publisher.Publish(KatalogDocument()), kGenerousDeadline));
  REQUIRE(WaitUntil([&] { return CallThroughAll(fleet, 0); }));
  FleetInstance& leaving = fleet["r2a-0"];
  const auto requests = [&] { return leaving.TargetStat("requests"); };
  REQUIRE(WaitUntil([&] {
    CallThroughAll(fleet, 1);
    return requests() > 0;
  }));

  PostJson(leaving.Addresses().admin_, "/target/leaving", nlohmann::json::object());
  const std::uint64_t atLeaving = requests();
  for (int i = 0; i < 20; ++i) {
    const std::string identity = "own-" + std::to_string(i);
    leaving.Get("/katalog/cushions?bytes=200",
                { .headers_ = { { "Request-Identity", identity } } });
  }
  CHECK(requests() == atLeaving);

  std::this_thread::sleep_for(3s);
  const std::uint64_t before = requests();
  for (int round = 2; round < 30; ++round) {
    CHECK(CallThroughAll(fleet, round));
  }
  CHECK(requests() == before);
  // No daemon counts on it any more, in any failure domain.
  for (FleetInstance& instance : fleet) {
    CHECK(StateOf("r2a-0", instance) == "leaving");
  }
}
