//! Stand-in for an application endpoint of the users' platform.

#include "standins/ProgramMain.h"
#include "standins/endpoint/EndpointServer.h"

#include <csignal>
#include <string>

namespace {

using namespace dandelionstand;
namespace options = boost::program_options;

void Run(const options::variables_map& aValues)
{
  common::EventLoop loop;
  const standins::EndpointServer server(
    loop,
    { .listen_ = common::Address(aValues["listen"].as<std::string>()),
      .daemonControl_ = common::Address(aValues["daemon-control"].as<std::string>()),
      .service_ = aValues["service"].as<std::string>(),
      .instanceId_ = aValues["id"].as<std::string>(),
      .slots_ = aValues["slots"].as<std::uint32_t>() });
  const auto onTerm = loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  standins::PrintListeningAddress(server.ListeningAddress().Get());
  loop.Run();
}

} // namespace

int main(int argc, char** argv)
{
  options::options_description description("standin-endpoint");
  auto add = description.add_options();
  add(
    "listen", options::value<std::string>()->default_value("127.0.0.1:0"), "ip:port to listen on");
  add("daemon-control", options::value<std::string>()->required(), "ip:port of the daemon");
  add("service", options::value<std::string>()->required(), "name of the service");
  add("id",
      options::value<std::string>()->required(),
      "instance id of the endpoint, a new name at each start");
  add("slots",
      options::value<std::uint32_t>()->default_value(9),
      "requests at a time, as reported to the daemon");
  return standins::RunProgram(argc, argv, description, Run);
}
