//! Stand-in for a target of one service.

#include "standins/ProgramMain.h"
#include "standins/target/Announcer.h"
#include "standins/target/TargetServer.h"

#include <chrono>
#include <csignal>
#include <memory>
#include <string>

namespace {

using namespace dandelionstand;
namespace options = boost::program_options;

constexpr std::chrono::milliseconds kDrainCheckInterval(20);
constexpr std::chrono::seconds kDrainTimeout(30);

//! Checks at each interval whether a request is in flight; stops the loop if none is.
std::unique_ptr<common::Watch> StopWhenIdle(common::EventLoop& aLoop,
                                            const standins::TargetServer& aServer)
{
  return aLoop.Every(kDrainCheckInterval, [&aLoop, &aServer]() {
    if (aServer.InFlight() == 0) {
      aLoop.Stop();
    }
  });
}

void Run(const options::variables_map& aValues)
{
  common::EventLoop loop;
  const std::string service = aValues["service"].as<std::string>();
  standins::TargetServer server(
    loop,
    { .listen_ = common::Address(aValues["listen"].as<std::string>()),
      .service_ = service,
      .runFile_ = aValues["run-file"].as<std::string>(),
      .behaviour_ = standins::ReadTargetControl(aValues["control"].as<std::string>(), {}) });
  std::unique_ptr<standins::Announcer> announcer;
  if (aValues.count("daemon-admin") > 0) {
    announcer = std::make_unique<standins::Announcer>(
      loop,
      standins::Announcer::Settings{ .daemonAdmin_ =
                                       common::Address(aValues["daemon-admin"].as<std::string>()),
                                     .service_ = service,
                                     .target_ = server.ListeningAddress() });
    announcer->Start();
    server.OnReadyChanged([&](bool aIsReady) { announcer->SetReady(aIsReady); });
  }
  std::unique_ptr<common::Watch> idleCheck;
  std::unique_ptr<common::Watch> drainTimeout;
  const auto onTerm = loop.OnSignal(SIGTERM, [&]() {
    drainTimeout = loop.After(kDrainTimeout, [&loop]() { loop.Stop(); });
    const auto startDrain = [&]() { idleCheck = StopWhenIdle(loop, server); };
    if (announcer) {
      announcer->AnnounceLeaving(startDrain);
    } else {
      startDrain();
    }
  });
  standins::PrintListeningAddress(server.ListeningAddress().Get());
  loop.Run();
}

} // namespace

int main(int argc, char** argv)
{
  options::options_description description("standin-target");
  auto add = description.add_options();
  add(
    "listen", options::value<std::string>()->default_value("127.0.0.1:0"), "ip:port to listen on");
  add("service", options::value<std::string>()->required(), "name of the service");
  add("daemon-admin", options::value<std::string>(), "ip:port of the daemon to announce to");
  add("run-file",
      options::value<std::string>()->default_value(""),
      "file that preserves the counts of runs across restarts");
  add("control",
      options::value<std::string>()->default_value("{}"),
      "initial behaviour, in the JSON format of POST /control");
  return standins::RunProgram(argc, argv, description, Run);
}
