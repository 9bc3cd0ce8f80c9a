//! Fault-injecting TCP proxy between failure domains.

#include "standins/ProgramMain.h"
#include "standins/proxy/FaultProxy.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <string>

namespace {

using namespace dandelionstand;
namespace options = boost::program_options;

nlohmann::json ReadSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error("cannot read " + aPath);
  }
  return nlohmann::json::parse(file, nullptr, true, true);
}

void Run(const options::variables_map& aValues)
{
  std::signal(SIGPIPE, SIG_IGN);
  const nlohmann::json settings = ReadSettings(aValues["settings"].as<std::string>());
  common::EventLoop loop;
  standins::FaultProxy proxy(loop, common::Address(settings.at("control").get<std::string>()));
  for (const nlohmann::json& forward : settings.at("forwards")) {
    proxy.AddForward(common::Address(forward.at("listen").get<std::string>()),
                     common::Address(forward.at("forward").get<std::string>()));
  }
  const auto onTerm = loop.OnSignal(SIGTERM, [&loop]() { loop.Stop(); });
  standins::PrintListeningAddress(proxy.ControlAddress().Get());
  loop.Run();
}

} // namespace

int main(int argc, char** argv)
{
  options::options_description description("standin-fault-proxy");
  auto add = description.add_options();
  add(
    "settings",
    options::value<std::string>()->required(),
    "JSON file with control (ip:port) and forwards (list of listen and forward, each an ip:port)");
  return standins::RunProgram(argc, argv, description, Run);
}
