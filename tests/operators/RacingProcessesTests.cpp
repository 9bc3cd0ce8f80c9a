#include "tests/support/Fleet.h"
#include "tests/support/Process.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace dandelionstand::tests;
using nlohmann::json;

namespace {

const ExitResult kAccepted{ 0, 0 };
const ExitResult kLostRace{ 4, 0 };

json BaseDocument()
{
  return { { "limits", { { "shared", json::object() }, { "other", json::object() } } },
           { "endpoints", { { "shop", { { "limits", "shared" } } } } },
           { "routes",
             { { "browse",
                 { { "path_prefix", "/shop" },
                   { "methods", { "GET" } },
                   { "endpoints", "shop" },
                   { "idempotency", "idempotent" } } } } } };
}

FleetOptions TwoDaemons()
{
  return { .regions_ = MakeRegions(2, 1, 1, {}), .isProxied_ = false, .hasTargets_ = false };
}

//! Concurrent publishes, each in a dandelionctl process of its own.
class PublishProcesses
{
public:
  PublishProcesses(const Fleet& aFleet, std::uint64_t aBaseVersion)
    : fleet_(aFleet)
    , baseVersion_(aBaseVersion)
  {
  }

  void Start(const std::string& aId, const json& aDocument)
  {
    const std::string file = fleet_.Folder().Write(aId + ".json", aDocument.dump());
    processes_.push_back(
      std::make_unique<Process>("dandelionctl",
                                std::vector<std::string>{ "publish",
                                                          file,
                                                          "--log",
                                                          fleet_.LogAddress().Get(),
                                                          "--base",
                                                          std::to_string(baseVersion_),
                                                          "--id",
                                                          aId },
                                fleet_.Folder().Path() / (aId + ".log")));
  }

  std::size_t CountExits(const ExitResult& aResult)
  {
    std::size_t count = 0;
    for (const auto& process : processes_) {
      count += process->Wait() == aResult ? 1 : 0;
    }
    return count;
  }

  //! Processes that had an append without an answer.
  std::size_t CountUnansweredAppends() const
  {
    return std::count_if(processes_.begin(), processes_.end(), [](const auto& aProcess) {
      return aProcess->Log().find("looking the record up") != std::string::npos;
    });
  }

private:
  const Fleet& fleet_;
  std::uint64_t baseVersion_;
  std::vector<std::unique_ptr<Process>> processes_;
};

std::size_t CountAccepted(const Fleet& aFleet, const std::string& aIdPrefix)
{
  const RunResult history = aFleet.RunDandelionctl("history", { "--json" });
  std::size_t count = 0;
  const json parsed = json::parse(history.output_);
  for (const json& record : parsed["records"]) {
    const bool hasPrefix = record["id"].get<std::string>().starts_with(aIdPrefix);
    count += hasPrefix && record["outcome"] == "accepted" ? 1 : 0;
  }
  return count;
}

} // namespace

TEST_CASE("Exactly one of several publishes that race for one resource wins while answers are lost",
          "[operators][integration]")
{
  Fleet fleet(TwoDaemons());
  fleet.Start();
  json document = BaseDocument();
  std::uint64_t version = fleet.Publish(document);
  for (const std::size_t count : { 2, 5 }) {
    fleet.ControlLog({ { "lose_answers", 2 }, { "lose_answers_stream", "config" } });
    const std::string round = "round" + std::to_string(count) + "-";
    PublishProcesses publishes(fleet, version);
    for (std::size_t index = 0; index < count; ++index) {
      document["limits"]["shared"]["slots"] = 10 * count + index;
      publishes.Start(round + std::to_string(index), document);
    }
    REQUIRE(publishes.CountExits(kAccepted) == 1);
    CHECK(publishes.CountExits(kLostRace) == count - 1);
    CHECK(publishes.CountUnansweredAppends() >= 1);
    CHECK(CountAccepted(fleet, round) == 1);
    fleet.ControlLog({ { "lose_answers", 0 } });
    version = fleet.NextOffset("config") - 1;
    document["limits"]["other"]["slots"] = count;
    version = fleet.Publish(document);
    CHECK(fleet.WaitForVersion(version));
  }
}

TEST_CASE(
  "Publishes that change different resources are all accepted and a repeated publish adds nothing",
  "[operators][integration]")
{
  Fleet fleet(TwoDaemons());
  fleet.Start();
  const std::uint64_t base = fleet.Publish(BaseDocument());
  fleet.ControlLog({ { "lose_answers", 1 }, { "lose_answers_stream", "config" } });
  PublishProcesses publishes(fleet, base);
  json documents[] = { BaseDocument(), BaseDocument(), BaseDocument() };
  documents[0]["limits"]["shared"]["slots"] = 3;
  documents[1]["limits"]["other"]["slots"] = 4;
  documents[2]["routes"]["browse"]["timeout_ms"] = 700;
  for (std::size_t index = 0; index < 3; ++index) {
    publishes.Start("own-" + std::to_string(index), documents[index]);
  }
  CHECK(publishes.CountExits(kAccepted) == 3);
  CHECK(publishes.CountUnansweredAppends() == 1);
  CHECK(CountAccepted(fleet, "own-") == 3);
  const std::uint64_t next = fleet.NextOffset("config");
  CHECK(fleet.WaitForVersion(next - 1));

  PublishProcesses repeated(fleet, base);
  repeated.Start("own-1", documents[1]);
  CHECK(repeated.CountExits(kAccepted) == 1);
  CHECK(fleet.NextOffset("config") == next);
}
