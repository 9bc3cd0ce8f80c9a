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

//! Ends the loop once nothing is in flight for one interval.
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
    loop, common::Address(aValues["listen"].as<std::string>()), service);
  std::unique_ptr<standins::Announcer> announcer;
  if (aValues.count("daemon-admin") > 0) {
    announcer = std::make_unique<standins::Announcer>(
      loop,
      standins::Announcer::Settings{ .daemonAdmin_ =
                                       common::Address(aValues["daemon-admin"].as<std::string>()),
                                     .service_ = service,
                                     .target_ = server.ListeningAddress() });
    announcer->Start();
  }
  std::unique_ptr<common::Watch> drain;
  const auto onTerm = loop.OnSignal(SIGTERM, [&]() {
    const auto startDrain = [&]() { drain = StopWhenIdle(loop, server); };
    if (announcer) {
      announcer->Leave(startDrain);
    } else {
      startDrain();
    }
  });
  standins::PrintListening(server.ListeningAddress().Get());
  loop.Run();
}

} // namespace

int main(int argc, char** argv)
{
  options::options_description description("standin-target");
  auto add = description.add_options();
  add("listen", options::value<std::string>()->default_value("127.0.0.1:0"), "ip:port to serve");
  add("service", options::value<std::string>()->required(), "name of the service");
  add("daemon-admin", options::value<std::string>(), "ip:port of the daemon to announce to");
  return standins::RunProgram(argc, argv, description, Run);
}
