//! Stand-in for the platform's log service.

#include "standins/ProgramMain.h"
#include "standins/log/LogServer.h"

#include <csignal>
#include <string>

namespace {

using namespace dandelionstand;
namespace options = boost::program_options;

void Run(const options::variables_map& aValues)
{
  common::EventLoop loop;
  standins::LogServer server(loop, common::Address(aValues["listen"].as<std::string>()));
  standins::LogBehaviour behaviour;
  behaviour.appendsPerSecond_ = aValues["appends-per-second"].as<std::uint64_t>();
  server.SetBehaviour(behaviour);
  const auto onTerm = loop.OnSignal(SIGTERM, [&loop]() { loop.Stop(); });
  standins::PrintListeningAddress(server.ListeningAddress().Get());
  loop.Run();
}

} // namespace

int main(int argc, char** argv)
{
  options::options_description description("standin-log");
  auto add = description.add_options();
  add(
    "listen", options::value<std::string>()->default_value("127.0.0.1:0"), "ip:port to listen on");
  add("appends-per-second",
      options::value<std::uint64_t>()->default_value(400),
      "rate limit of appends; 0 for none");
  return standins::RunProgram(argc, argv, description, Run);
}
