#include "tests/integration/PlatformSite.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace dandelionstand;
using namespace dandelionstand::tests;
using namespace std::chrono_literals;

namespace {

const std::string kSignature = "x-dandelionstand-response-signature";

//! Runs of one request over all endpoints of the site.
std::uint64_t RunsOf(PlatformSite& aSite, const std::string& aId)
{
  std::uint64_t runs = 0;
  for (std::size_t i = 0; i < aSite.Size(); ++i) {
    runs += aSite[i].Runs().value(aId, std::uint64_t{ 0 });
  }
  return runs;
}

bool Acknowledges(const PlatformMachine& aMachine, const nlohmann::json& aControl)
{
  const auto taken = [&] {
    return GetJson(aMachine.application_, "/runs").at("acknowledged").get<std::uint64_t>();
  };
  const std::uint64_t before = taken();
  aMachine.Control(aControl);
  return WaitUntil([&] { return taken() > before + 1; });
}

} // namespace

TEST_CASE("A request goes from a client's machine to the endpoint's and back unchanged",
          "[integration][site]")
{
  PlatformSite site;
  REQUIRE(site.WaitUntilServing());
  const HttpReply reply = Ask(site[2], "id-1");
  REQUIRE(reply.status_ == 200);
  CHECK(reply.Header("x-dandelionstand-request-id") == "id-1");
  CHECK(reply.Header(kSignature).starts_with("signed m"));
  CHECK(reply.Json()["target"] == "/x/1?q=2");
  CHECK(reply.Json()["caller"] == "two");
  CHECK(std::stoi(reply.Json()["deadline"].get<std::string>()) <= 5'000);
  CHECK(Ask(site[2], "id-2", "POST").Json()["body"] == "text");
  CHECK(RunsOf(site, "id-2") == 1);
  CHECK(HttpGet(site[0].outbound_, "/nowhere/", { .headers_ = { { "Host", "site.example" } } })
          .status_ == 404);
}

TEST_CASE("A version is in force everywhere within two seconds, also from peers",
          "[integration][site]")
{
  PlatformSite site;
  REQUIRE(site.WaitUntilServing());
  const auto served = [&](const PlatformMachine& aMachine, const std::string& aInstance) {
    static int count = 0;
    const HttpReply reply = Ask(aMachine, "version-" + std::to_string(++count));
    return reply.status_ == 200 &&
           reply.Json()["instance"].get<std::string>().starts_with(aInstance);
  };
  site.Publish(7, "two");
  for (std::size_t i = 0; i < site.Size(); ++i) {
    CHECK(WaitUntil([&] { return served(site[i], "m3"); }, 2s));
  }
  // A daemon that starts while the store is away gets the version from its peers.
  site.ControlStore({ { "outage", "refuse" } });
  site[0].daemon_->Kill();
  site.StartDaemon(site[0]);
  CHECK(WaitUntil([&] { return served(site[0], "m3"); }, 20s));
  site.ControlStore({ { "outage", "none" } });
}

TEST_CASE("A draining endpoint gets nothing once its report is acknowledged", "[integration][site]")
{
  PlatformSite site;
  REQUIRE(site.WaitUntilServing());
  SECTION("it says that it drains")
  {
    REQUIRE(Acknowledges(site[0], { { "state", "draining" } }));
  }
  SECTION("it says that it leaves")
  {
    site[0].Control({ { "state", "gone" } });
    std::this_thread::sleep_for(500ms); // The leave has no answer that the test could see.
  }
  const std::size_t before = site[0].Runs().size();
  for (int request = 0; request < 20; ++request) {
    CHECK(Ask(site[0], "drain-" + std::to_string(request)).status_ == 200);
  }
  CHECK(site[0].Runs().size() == before);
}

TEST_CASE("A daemon that restarts beside a draining endpoint admits nothing", "[integration][site]")
{
  PlatformSite site;
  REQUIRE(site.WaitUntilServing());
  REQUIRE(Acknowledges(site[0], { { "state", "draining" } }));
  site[0].daemon_->Kill();
  site.StartDaemon(site[0]);
  REQUIRE(WaitUntil([&] { return site[0].IsReady(); }));
  const std::size_t before = site[0].Runs().size();
  for (int request = 0; request < 20; ++request) {
    Ask(site[0], "restart-" + std::to_string(request));
  }
  CHECK(site[0].Runs().size() == before);
}

TEST_CASE("A refusal as not run is true, and a request that changes something runs once",
          "[integration][site]")
{
  PlatformSite site;
  REQUIRE(site.WaitUntilServing());
  site[0].Control({ { "sheds", true } });
  site[1].Control({ { "sheds", true } });
  const HttpReply refused = Ask(site[0], "shed", "POST");
  CHECK(refused.status_ == 503);
  CHECK_FALSE(refused.Header("retry-after").empty());
  CHECK(RunsOf(site, "shed") == 0);
  for (const char* answer : { "cut", "reset", "unsigned" }) {
    INFO(answer);
    site[0].Control({ { "sheds", false }, { "answer", answer } });
    site[1].Control({ { "sheds", false }, { "answer", answer } });
    const HttpReply broken = Ask(site[0], answer, "POST");
    CHECK(broken.status_ == 502);
    CHECK(RunsOf(site, answer) == 1);
  }
}

TEST_CASE("A wrong answer to a request that may be repeated is had elsewhere",
          "[integration][site]")
{
  PlatformSite site;
  REQUIRE(site.WaitUntilServing());
  site[0].Control({ { "answer", "cut" } });
  int served = 0;
  for (int request = 0; request < 60; ++request) {
    const HttpReply reply = Ask(site[0], "cut-" + std::to_string(request));
    served += reply.status_ == 200 ? 1 : 0;
    CHECK((reply.status_ == 502 || reply.Json()["instance"] == "m2-1"));
  }
  // The budget allows a tenth of the requests, and the reserve only counts later.
  CHECK(served >= 1);
}

TEST_CASE("A caller that leaves ends the work at the endpoint", "[integration][site]")
{
  PlatformSite site;
  REQUIRE(site.WaitUntilServing());
  for (std::size_t i = 0; i < 2; ++i) {
    site[i].Control({ { "work_ms", 60'000 } });
  }
  {
    const RequestOptions options{ .headers_ = { { "Host", "site.example" },
                                                { "X-Dandelionstand-Request-Id", "leaver" } },
                                  .timeout_ = 300ms };
    CHECK(HttpGet(site[0].outbound_, "/x/1", options).status_ == 0);
  }
  const auto inFlight = [&](const PlatformMachine& aMachine) {
    return GetJson(aMachine.admin_, "/dump").at("queue").at("running").get<int>();
  };
  CHECK(WaitUntil([&] { return inFlight(site[0]) + inFlight(site[1]) == 0; }, 2s));
}

TEST_CASE("A stop ends no request that is under way and leaves in time", "[integration][site]")
{
  PlatformSite site;
  REQUIRE(site.WaitUntilServing());
  for (std::size_t i = 0; i < 2; ++i) {
    site[i].Control({ { "work_ms", 1'500 } });
  }
  std::vector<std::future<HttpReply>> replies;
  for (int request = 0; request < 6; ++request) {
    replies.push_back(AskLater(site[0], "stop-" + std::to_string(request)));
  }
  std::this_thread::sleep_for(300ms);
  site[0].daemon_->Terminate();
  CHECK(WaitUntil([&] { return !site[0].IsReady(); }, 1s));
  for (std::future<HttpReply>& reply : replies) {
    CHECK(reply.get().status_ == 200);
  }
  const auto exit = site[0].daemon_->Wait(6s);
  REQUIRE(exit.has_value());
  CHECK(*exit == ExitResult{});
}

TEST_CASE("A stopping daemon serves clients that have not noticed yet", "[integration][site]")
{
  PlatformSite site;
  REQUIRE(site.WaitUntilServing());
  site[0].daemon_->Terminate();
  REQUIRE(WaitUntil([&] { return !site[0].IsReady(); }, 1s));
  for (int request = 0; request < 10; ++request) {
    const std::string id = "late-" + std::to_string(request);
    CHECK(Ask(site[0], id, request % 2 == 0 ? "GET" : "POST", 1'500).status_ == 200);
    CHECK(RunsOf(site, id) == 1);
  }
  const auto exit = site[0].daemon_->Wait(6s);
  REQUIRE(exit.has_value());
  CHECK(*exit == ExitResult{});
}

TEST_CASE("Changed settings are read again without losing a request", "[integration][site]")
{
  PlatformSite site;
  REQUIRE(site.WaitUntilServing());
  site[0].Control({ { "work_ms", 500 } });
  site[1].Control({ { "work_ms", 500 } });
  std::future<HttpReply> reply = AskLater(site[0], "hup");
  std::this_thread::sleep_for(100ms);
  site[0].daemon_->Signal(SIGHUP);
  CHECK(reply.get().status_ == 200);
  CHECK(site[0].daemon_->WaitForField("reloaded", "cause") == "signal");
  CHECK(site[0].daemon_->IsRunning());
}

TEST_CASE("A second start of an endpoint at its address gets no request of the first one",
          "[integration][site]")
{
  PlatformSite site;
  REQUIRE(site.WaitUntilServing());
  site[0].endpoint_->Kill();
  site.StartEndpoint(site[0]);
  REQUIRE(site.WaitUntilServing());
  const HttpReply reply = Ask(site[0], "after");
  CHECK(reply.status_ == 200);
  CHECK(reply.Json()["instance"] != "m1-1");
}

TEST_CASE("The logs of all processes lead from a request's id to its refusal",
          "[integration][site][logs]")
{
  PlatformSite site;
  REQUIRE(site.WaitUntilServing());
  for (std::size_t i = 0; i < 2; ++i) {
    site[i].Control({ { "work_ms", 2'000 } });
  }
  std::vector<std::future<HttpReply>> replies;
  for (int request = 0; request < 40; ++request) {
    replies.push_back(AskLater(site[0], "load-" + std::to_string(request), "GET", 2'500));
  }
  std::string refused;
  for (std::size_t request = 0; request < replies.size(); ++request) {
    if (replies[request].get().status_ == 503) {
      refused = "load-" + std::to_string(request);
    }
  }
  REQUIRE_FALSE(refused.empty());
  std::this_thread::sleep_for(300ms);
  const std::string callerLog = site[0].daemon_->Log();
  const std::string targetLogs = callerLog + site[1].daemon_->Log();
  CHECK(callerLog.find("event=request_refused request=" + refused + " ") != std::string::npos);
  // Each attempt after the first has a line of its own with its cause.
  const auto told = callerLog.find("event=request_refused request=" + refused + " ");
  const std::string refusal = callerLog.substr(told, callerLog.find('\n', told) - told);
  if (refusal.find(" attempts=1 ") == std::string::npos) {
    CHECK(callerLog.find("event=call_retried request=" + refused + " attempt=2 cause=") !=
          std::string::npos);
  }
  const auto line = targetLogs.find("event=call_refused request=" + refused + " ");
  REQUIRE(line != std::string::npos);
  const std::string text = targetLogs.substr(line, targetLogs.find('\n', line) - line);
  for (const char* key :
       { "reason=", "version=", "time_left_ms=", "running=", "queued=", "slots=" }) {
    CHECK(text.find(key) != std::string::npos);
  }
}
