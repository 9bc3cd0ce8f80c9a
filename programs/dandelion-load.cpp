//! Open-loop load generator. Checks every answer and counts the runs of each order.

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/load/LoadOptions.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <exception>
#include <iostream>

namespace {

using namespace dandelionstand;
namespace options = boost::program_options;

enum ExitStatus
{
  kSuccess = 0,
  kPromiseBroken = 1,
  kUsage = 2,
  kNoCompleteAnswer = 3,
  kFailure = 4,
};

options::options_description Describe(load::LoadOptions& aOptions, std::string& aReport)
{
  options::options_description description("dandelion-load");
  auto add = description.add_options();
  add("help", "print this text");
  add("entry",
      options::value(&aOptions.entryPoints_)->composing(),
      "ip:port of a daemon; repeatable");
  add("direct",
      options::value(&aOptions.directTargets_)->composing(),
      "ip:port of a target that receives every other unkeyed call directly; repeatable");
  add("runs",
      options::value(&aOptions.runCounters_)->composing(),
      "ip:port of a target that counts runs; repeatable");
  add("user",
      options::value(&aOptions.user_)->default_value(aOptions.user_),
      "user whose mix of calls is sent");
  add("mix", options::value(&aOptions.mix_), "weights: browse=60,lookup=35,order=4,download=1");
  add("rate",
      options::value(&aOptions.rates_)->default_value(aOptions.rates_),
      "steps of calls per second and duration in seconds: 100:10,200:10");
  add("max-calls",
      options::value(&aOptions.maxCalls_)->default_value(aOptions.maxCalls_),
      "upper bound on the number of calls");
  add("download-bytes", options::value(&aOptions.downloadBytes_), "length of a download in bytes");
  add("repeat-percent",
      options::value(&aOptions.repeatPercent_)->default_value(0),
      "percentage of keyed orders that are sent twice at the same time");
  add("connections",
      options::value(&aOptions.connections_)->default_value(aOptions.connections_),
      "connections to each address");
  add("timeout-ms",
      options::value(&aOptions.timeoutMs_)->default_value(aOptions.timeoutMs_),
      "time limit of each call");
  add(
    "seed", options::value(&aOptions.seed_)->default_value(aOptions.seed_), "seed of the schedule");
  add("report", options::value(&aReport), "folder for the report, CSV and plots");
  return description;
}

int Run(load::LoadSettings aSettings, const std::string& aReport)
{
  common::EventLoop loop;
  load::LoadRun run(loop, std::move(aSettings));
  load::RunResults results;
  bool isDone = false;
  run.onDone_.connect([&](const load::RunResults& aResults) {
    results = aResults;
    isDone = true;
    loop.Stop();
  });
  const auto interruptWatch = loop.OnSignal(SIGINT, [&loop]() { loop.Stop(); });
  const auto terminateWatch = loop.OnSignal(SIGTERM, [&loop]() { loop.Stop(); });
  run.Start();
  loop.Run();
  if (!isDone) {
    std::cerr << "stopped by a signal before the end of the run\n";
    return kFailure;
  }
  std::cout << load::MakeTextReport(results);
  if (!aReport.empty()) {
    load::WriteReport(results, aReport);
  }
  if (load::HasBrokenPromise(results)) {
    return kPromiseBroken;
  }
  return results.tally_.CountOf(load::Verdict::kWhole) > 0 ? kSuccess : kNoCompleteAnswer;
}

int ParseAndRun(int argc, char** argv)
{
  load::LoadOptions parsed;
  std::string report;
  const options::options_description description = Describe(parsed, report);
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  options::notify(values);
  if (values.count("help") > 0) {
    std::cout << description
              << "Exit status: 0 all promises kept, 1 a promise broken, 2 usage,\n"
                 "3 no whole answer at all, 4 another failure.\n";
    return kSuccess;
  }
  common::Findings findings;
  load::LoadSettings settings = load::ParseLoadOptions(parsed, findings);
  if (!findings.IsEmpty()) {
    std::cerr << findings.ToString();
    return kUsage;
  }
  return Run(std::move(settings), report);
}

} // namespace

int main(int argc, char** argv)
{
  common::StartEventLog("dandelion-load", common::Severity::kWarn);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return ParseAndRun(argc, argv);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n";
    return kUsage;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kFailure;
  }
}
