#include "dandelionstand/operators/LogAccess.h"

namespace dandelionstand::operators {

namespace {

constexpr std::uint32_t kDefaultTimeoutSeconds = 30;

} // namespace

void AddLogOptions(Command::Options& aOptions)
{
  namespace options = boost::program_options;
  aOptions.add_options()("log",
                         options::value<std::string>()->value_name("ADDRESS"),
                         "IP address and port of the log service")(
    "timeout",
    options::value<std::uint32_t>()->default_value(kDefaultTimeoutSeconds)->value_name("SECONDS"),
    "longest wait for the log");
}

common::Duration TimeoutOf(const Command::Values& aValues)
{
  return std::chrono::seconds(aValues["timeout"].as<std::uint32_t>());
}

LogAccess::LogAccess(const Command::Values& aValues)
  : log_(loop_, { .address_ = RequiredAddress(aValues, "log") }, counters_)
{
}

bool ReadToEnd(LogAccess& aAccess, LogReader& aReader)
{
  bool isComplete = false;
  aReader.Start([&](bool aIsComplete) {
    isComplete = aIsComplete;
    aAccess.loop_.Stop();
  });
  aAccess.loop_.Run();
  return isComplete;
}

} // namespace dandelionstand::operators
