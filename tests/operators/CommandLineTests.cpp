#include "dandelionstand/operators/CommandLine.h"

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/HttpServer.h"

#include "standins/log/LogServer.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <atomic>
#include <memory>
#include <sstream>
#include <thread>

using namespace dandelionstand;
using namespace dandelionstand::operators;

namespace {

const std::string kDocument = R"({"limits": {"shop": {"slots": 3}}})";
const std::string kLaggingStatus =
  R"({"version": 1, "failure_domains": {"a": {"members": 2, "in_force": {"0": 1, "1": 1},
      "lagging": ["a-1"]}}})";
const std::string kActiveStatus =
  R"({"version": 1, "failure_domains": {"a": {"members": 2, "in_force": {"1": 2}, "lagging": []}}})";

//! A log service and a daemon's admin server on a thread of their own. The first aLaggingAnswers
//! requests for the status get kLaggingStatus, later ones kActiveStatus.
class TestServices
{
public:
  explicit TestServices(int aLaggingAnswers)
    : log_(loop_, common::Address("127.0.0.1:0"))
    , admin_(loop_, common::Address("127.0.0.1:0"))
    , remainingLaggingAnswers_(aLaggingAnswers)
  {
    admin_.Handle("/status", [this](evhttp_request* aRequest) {
      const bool isLagging = remainingLaggingAnswers_-- > 0;
      common::SendReply(
        aRequest, 200, "application/json", isLagging ? kLaggingStatus : kActiveStatus);
    });
    admin_.Handle("/log-level", [](evhttp_request* aRequest) {
      common::SendReply(aRequest, 200, "application/json", common::BodyOf(aRequest));
    });
    // The event loop may only be stopped from its own thread, so a timer on it polls the flag.
    stopTimer_ = loop_.Every(std::chrono::milliseconds(5), [this] {
      if (isStopping_) {
        loop_.Stop();
      }
    });
    thread_ = std::thread([this] { loop_.Run(); });
  }

  ~TestServices()
  {
    isStopping_ = true;
    thread_.join();
  }

  std::string Log() const { return log_.ListeningAddress().Get(); }
  std::string Daemon() const { return admin_.BoundAddress().Get(); }

private:
  common::EventLoop loop_;
  standins::LogServer log_;
  common::HttpServer admin_;
  int remainingLaggingAnswers_;
  std::atomic<bool> isStopping_ = false;
  std::unique_ptr<common::Watch> stopTimer_;
  std::thread thread_;
};

struct ToolResult
{
  ExitStatus status_;
  std::string out_;
  std::string err_;
};

ToolResult RunTool(const std::vector<std::string>& aArguments, const std::string& aInput = "")
{
  std::istringstream in(aInput);
  std::ostringstream out;
  std::ostringstream err;
  Console console{ in, out, err };
  const ExitStatus status = RunCommandLine(aArguments, console);
  return { status, out.str(), err.str() };
}

} // namespace

TEST_CASE("Command line errors exit with the status for usage errors", "[operators][tool]")
{
  const std::vector<std::vector<std::string>> invalidCommandLines = {
    {},
    { "fly" },
    { "publish", "-" },
    { "validate" },
    { "validate", "/no/such/file" },
    { "status" },
    { "status", "--daemon", "nowhere" },
    { "history", "--log", "127.0.0.1" },
    { "status", "--daemon", "127.0.0.1:1", "--unknown" },
    { "log-level", "loud", "--daemon", "127.0.0.1:1" },
    { "publish", "-", "--log", "127.0.0.1:1", "--wait-in-force", "1" },
  };
  for (const auto& arguments : invalidCommandLines) {
    const ToolResult result = RunTool(arguments, kDocument);
    CHECK(result.status_ == ExitStatus::kUsage);
    CHECK(result.out_ == "");
    CHECK(result.err_ != "");
  }
}

TEST_CASE("Findings are printed as text for people or as JSON for programs", "[operators][tool]")
{
  const std::string invalidDocument = R"({"endpoints": {"shop": {"limits": "none"}}})";
  const ToolResult textResult = RunTool({ "validate", "-" }, invalidDocument);
  CHECK(textResult.status_ == ExitStatus::kInvalid);
  CHECK(textResult.err_ == "standard input:1: endpoints.shop.limits: no limits named 'none'\n");
  const ToolResult jsonResult = RunTool({ "validate", "-", "--json" }, invalidDocument);
  CHECK(jsonResult.status_ == ExitStatus::kInvalid);
  CHECK(nlohmann::json::parse(jsonResult.out_)["findings"][0]["path"] == "endpoints.shop.limits");
  CHECK(RunTool({ "validate", "-" }, kDocument).status_ == ExitStatus::kOk);
}

TEST_CASE("A publish with --wait-in-force waits until its version is active and prints progress",
          "[operators][tool]")
{
  TestServices services(2);
  const ToolResult result = RunTool({ "publish",
                                      "-",
                                      "--log",
                                      services.Log(),
                                      "--daemon",
                                      services.Daemon(),
                                      "--wait-in-force",
                                      "60",
                                      "--json" },
                                    kDocument);
  CHECK(result.status_ == ExitStatus::kOk);
  const nlohmann::json printed = nlohmann::json::parse(result.out_);
  CHECK(printed["verdict"] == "accepted");
  CHECK(printed["in_force"] == true);
  CHECK(result.err_.find("in force on 1 of 2 members\nin force on all of 2 members\n") !=
        std::string::npos);

  SECTION("diff and history include the published version")
  {
    CHECK(RunTool({ "diff", "-", "--log", services.Log() }, kDocument).status_ == ExitStatus::kOk);
    CHECK(RunTool({ "diff", "-", "--log", services.Log() }, "{}").status_ == ExitStatus::kDiffers);
    const ToolResult history = RunTool({ "history", "--log", services.Log(), "--json" });
    CHECK(nlohmann::json::parse(history.out_)["records"].size() == 1);
  }
}

TEST_CASE("A publish whose version is not active everywhere in time exits with a status of its own",
          "[operators][tool]")
{
  TestServices services(1'000'000);
  const ToolResult result = RunTool({ "publish",
                                      "-",
                                      "--log",
                                      services.Log(),
                                      "--daemon",
                                      services.Daemon(),
                                      "--wait-in-force",
                                      "0" },
                                    kDocument);
  CHECK(result.status_ == ExitStatus::kNotInForce);
  CHECK(result.out_.starts_with("accepted as version 1\n"));
}

TEST_CASE("The status, log level and dump commands use the admin address of the daemon",
          "[operators][tool]")
{
  TestServices services(1);
  const ToolResult status = RunTool({ "status", "--daemon", services.Daemon() });
  CHECK(status.status_ == ExitStatus::kOk);
  CHECK(status.out_.find("  lagging: a-1\n") != std::string::npos);
  CHECK(RunTool({ "log-level", "debug", "--daemon", services.Daemon() }).out_ ==
        "log level debug\n");
  CHECK(RunTool({ "dump", "--daemon", services.Daemon() }).status_ == ExitStatus::kUnavailable);
}
