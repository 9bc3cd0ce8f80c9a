#include "tests/integration/PlatformSite.h"

#include "dandelionstand/platform/RecordFrames.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>

namespace dandelionstand::tests {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr int kSlots = 4;
constexpr int kStatusOk = 200;

PlatformMachine MakeMachine(const std::string& aName,
                            const std::string& aDomain,
                            const std::string& aService)
{
  const std::string ip = "127.0.0.1";
  PlatformMachine machine;
  machine.name_ = aName;
  machine.failureDomain_ = aDomain;
  machine.service_ = aService;
  for (common::Address* address : { &machine.outbound_,
                                    &machine.control_,
                                    &machine.readiness_,
                                    &machine.admin_,
                                    &machine.peer_,
                                    &machine.application_ }) {
    *address = FreeAddress(ip);
  }
  return machine;
}

std::string VersionText(std::uint64_t aVersion)
{
  char text[16];
  std::snprintf(text, sizeof(text), "%08llx", static_cast<unsigned long long>(aVersion));
  return text;
}

json DocumentOf(std::uint64_t aVersion, const std::string& aService)
{
  return {
    { "version", VersionText(aVersion) },
    { "routes",
      { { "columns",
          { "name", "host", "path-prefix", "kind", "timeout-s", "max-attempts", "service" } },
        { "rows",
          { { "read", "site.example", "/x/", "safe", 5, 2, aService },
            { "write", "site.example", "/write/", "unsafe", 5, 2, aService } } } } },
    { "services",
      { { "columns", { "name", "connection-limit" } },
        { "rows", json::array({ json::array({ "one", 110 }), json::array({ "two", 110 }) }) } } },
    { "limits",
      { { "max-header-bytes", 16384 },
        { "max-body-bytes", 1048576 },
        { "header-timeout-s", 3 },
        { "idle-timeout-s", 15 } } }
  };
}

} // namespace

bool PlatformMachine::IsReady() const
{
  return HttpGet(readiness_, "/dandelionstand/readiness", { .timeout_ = 1s }).status_ == kStatusOk;
}

json PlatformMachine::Runs() const
{
  return GetJson(application_, "/runs").at("runs");
}

void PlatformMachine::Control(const json& aControl) const
{
  PostJson(application_, "/control", aControl);
}

PlatformSite::PlatformSite()
  : storeProcess_(std::make_unique<Process>("standin-log",
                                            std::vector<std::string>{ "--listen", "127.0.0.1:0" },
                                            folder_.Path() / "store"))
  , store_(storeProcess_->WaitForField("listening", "address"))
{
  machines_.push_back(MakeMachine("m1", "a", "one"));
  machines_.push_back(MakeMachine("m2", "b", "one"));
  machines_.push_back(MakeMachine("m3", "b", "two"));
  Publish(1, "one");
  for (PlatformMachine& machine : machines_) {
    WriteSettings(machine);
    StartDaemon(machine);
    StartEndpoint(machine);
  }
}

void PlatformSite::WriteSettings(PlatformMachine& aMachine) const
{
  aMachine.settings_ = folder_.Path() / (aMachine.name_ + ".json");
  const json settings{
    { "instance", aMachine.name_ },
    { "failure_domain", aMachine.failureDomain_ },
    { "region", "r" },
    { "callers", { { "listen", aMachine.outbound_.Get() } } },
    { "admin", { { "listen", aMachine.admin_.Get() } } },
    { "peers",
      { { "listen", aMachine.peer_.Get() }, { "heartbeat_ms", 200 }, { "silent_intervals", 3 } } },
    { "log", { { "address", store_.Get() }, { "timeout_ms", 1000 } } },
    { "platform",
      { { "service", aMachine.service_ },
        { "control_listen", aMachine.control_.Get() },
        { "readiness_listen", aMachine.readiness_.Get() },
        { "bounds", { "grace-period-s=6", "retry-budget-slack=56" } } } }
  };
  std::ofstream(aMachine.settings_) << settings.dump(2) << "\n";
}

void PlatformSite::StartDaemon(PlatformMachine& aMachine)
{
  StartDaemon(aMachine, folder_.Path() / (aMachine.name_ + ".daemon"));
}

void PlatformSite::StartDaemon(PlatformMachine& aMachine, const std::filesystem::path& aLog)
{
  aMachine.daemon_ = std::make_unique<Process>(
    "dandelion-daemon", std::vector<std::string>{ "--settings", aMachine.settings_ }, aLog);
}

void PlatformSite::StartEndpoint(PlatformMachine& aMachine)
{
  const std::string id = aMachine.name_ + "-" + std::to_string(++aMachine.endpointStarts_);
  aMachine.endpoint_.reset();
  aMachine.endpoint_ =
    std::make_unique<Process>("standin-endpoint",
                              std::vector<std::string>{ "--listen",
                                                        aMachine.application_.Get(),
                                                        "--daemon-control",
                                                        aMachine.control_.Get(),
                                                        "--service",
                                                        aMachine.service_,
                                                        "--id",
                                                        id,
                                                        "--slots",
                                                        std::to_string(kSlots) },
                              folder_.Path() / (aMachine.name_ + ".endpoint"));
}

void PlatformSite::Publish(std::uint64_t aVersion, const std::string& aService)
{
  std::string frame;
  platform::AppendFrame(
    platform::EncodeKeyedRecord("config", DocumentOf(aVersion, aService).dump()), frame);
  const HttpReply reply = HttpPost(store_,
                                   "/dandelionstand/log-append?topic=keyed.op&part=0",
                                   frame,
                                   { .headers_ = { { "X-Operator", "1" } } });
  if (reply.status_ != kStatusOk) {
    throw std::runtime_error("the store refused the configuration");
  }
}

bool PlatformSite::WaitUntilServing()
{
  int count = 0;
  const bool areServing = WaitUntil([&] {
    bool areAllServing = true;
    for (const PlatformMachine& machine : machines_) {
      const std::string id = "wait-" + machine.name_ + "-" + std::to_string(++count);
      areAllServing = areAllServing && machine.IsReady() && KnowsAllEndpoints(machine) &&
                      Ask(machine, id).status_ == kStatusOk;
    }
    return areAllServing;
  });
  if (!areServing) {
    PrintLogs();
  }
  return areServing;
}

bool PlatformSite::KnowsAllEndpoints(const PlatformMachine& aMachine) const
{
  std::map<std::string, std::string> services;
  const json dump = GetJson(aMachine.admin_, "/dump");
  for (const json& member : dump.at("members")) {
    services[member.at("instance")] = member.at("service");
  }
  return std::all_of(machines_.begin(), machines_.end(), [&](const PlatformMachine& aOther) {
    return services[aOther.name_] == aOther.service_;
  });
}

void PlatformSite::PrintLogs()
{
  for (PlatformMachine& machine : machines_) {
    std::cerr << machine.name_ << ": daemon " << (machine.daemon_->IsRunning() ? "runs" : "ended")
              << ", endpoint " << (machine.endpoint_->IsRunning() ? "runs" : "ended") << ", "
              << (machine.IsReady() ? "ready" : "not ready") << "\n"
              << machine.daemon_->Log() << machine.endpoint_->Log();
  }
}

void PlatformSite::ControlStore(const json& aControl) const
{
  PostJson(store_, "/control", aControl);
}

HttpReply Ask(const PlatformMachine& aMachine,
              const std::string& aId,
              const std::string& aMethod,
              int aDeadlineMs)
{
  const RequestOptions options{ .headers_ = { { "Host", "site.example" },
                                              { "X-Dandelionstand-Request-Id", aId },
                                              { "X-Dandelionstand-Deadline-Milliseconds",
                                                std::to_string(aDeadlineMs) } } };
  if (aMethod == "GET") {
    return HttpGet(aMachine.outbound_, "/x/1?q=2", options);
  }
  return HttpPost(aMachine.outbound_, "/write/1", "text", options);
}

std::future<HttpReply> AskLater(const PlatformMachine& aMachine,
                                const std::string& aId,
                                const std::string& aMethod,
                                int aDeadlineMs)
{
  return std::async(std::launch::async, [&aMachine, aId, aMethod, aDeadlineMs] {
    return Ask(aMachine, aId, aMethod, aDeadlineMs);
  });
}

} // namespace dandelionstand::tests
