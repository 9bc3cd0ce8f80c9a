#include "dandelionstand/load/LoadRun.h"
#include "standins/HttpServer.h"
#include "standins/target/TargetServer.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace dandelionstand::load;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kCalls = 200;

LoadSettings MakeSettings(const common::Address& aEntry)
{
  LoadSettings settings;
  settings.entryPoints_ = { aEntry };
  settings.classes_ = *ClassesOfUser("zafukreis");
  settings.steps_ = { { 2000, 10s } };
  settings.maxCalls_ = kCalls;
  settings.runName_ = "test";
  return settings;
}

RunResults RunToEnd(common::EventLoop& aLoop, const LoadSettings& aSettings)
{
  LoadRun run(aLoop, aSettings);
  RunResults results;
  run.onDone_.connect([&](const RunResults& aResults) {
    results = aResults;
    aLoop.Stop();
  });
  run.Start();
  aLoop.Run();
  return results;
}

} // namespace

TEST_CASE("A run counts each call once on the path that it took", "[load][run]")
{
  common::EventLoop loop;
  standins::TargetServer target(loop, common::Address("127.0.0.1:0"), "katalog");
  LoadSettings settings = MakeSettings(target.ListeningAddress());
  settings.directTargets_ = { target.ListeningAddress() };
  settings.connections_ = 4;
  const RunResults results = RunToEnd(loop, settings);

  CHECK(results.tally_.CallCount() == kCalls);
  CHECK(results.tally_.CountOf(Verdict::kWhole) == kCalls);
  CHECK_FALSE(HasBrokenPromise(results));
  CHECK_FALSE(MakeAddedLatencyTable(results).rows_.empty());
  CHECK_FALSE(results.orders_.IsComplete());
}

TEST_CASE("A run detects answers that do not match the call", "[load][run]")
{
  common::EventLoop loop;
  int status = 200;
  standins::HeaderMap headers;
  std::string body = "whatever";
  standins::HttpServer server(
    loop, common::Address("127.0.0.1:0"), [&](const standins::ServerRequest& aRequest) {
      standins::HeaderMap sent = headers;
      if (sent.empty()) {
        sent["Request-Identity"] = aRequest.Header("request-identity");
      }
      aRequest.responder_->Send(status, sent, body);
    });

  Verdict expected = Verdict::kTruncated;
  SECTION("another call's identity")
  {
    headers["Request-Identity"] = "other";
    expected = Verdict::kWrongIdentity;
  }
  SECTION("another length") {}
  SECTION("a refusal without a run state")
  {
    status = 503;
    expected = Verdict::kUnmarked;
  }
  LoadSettings settings = MakeSettings(server.ListeningAddress());
  REQUIRE(ApplyWeights("lookup=1", settings.classes_));
  const RunResults results = RunToEnd(loop, settings);
  CHECK(results.tally_.CountOf(expected) == kCalls);
  CHECK(HasBrokenPromise(results));
}

TEST_CASE("A refused connection counts as no answer and breaks no promise", "[load][run]")
{
  common::EventLoop loop;
  common::Address closedAddress;
  {
    const standins::TargetServer target(loop, common::Address("127.0.0.1:0"), "katalog");
    closedAddress = target.ListeningAddress();
  }
  const RunResults results = RunToEnd(loop, MakeSettings(closedAddress));
  CHECK(results.tally_.CountOf(Verdict::kNoAnswer) == kCalls);
  CHECK_FALSE(HasBrokenPromise(results));
}
