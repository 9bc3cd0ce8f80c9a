#include "dandelionstand/operators/PublishCommand.h"

#include "dandelionstand/operators/AdminClient.h"
#include "dandelionstand/operators/LogAccess.h"
#include "dandelionstand/operators/PublishTask.h"
#include "dandelionstand/operators/Rendering.h"

#include <array>
#include <ostream>
#include <random>
#include <thread>

namespace dandelionstand::operators {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr common::Duration kStatusTimeout = 2s;
constexpr common::Duration kStatusInterval = 100ms;
constexpr std::size_t kRandomDigitCount = 16;

std::string NewPublishId()
{
  constexpr std::array<char, 16> kHexDigits{ '0', '1', '2', '3', '4', '5', '6', '7',
                                             '8', '9', 'a', 'b', 'c', 'd', 'e', 'f' };
  std::random_device device;
  std::string id = "p" + std::to_string(common::WallClockMs()) + "-";
  for (std::size_t index = 0; index < kRandomDigitCount; ++index) {
    id += kHexDigits.at(device() % kHexDigits.size());
  }
  return id;
}

} // namespace

ExitStatus ExitStatusFor(PublishVerdict aVerdict)
{
  switch (aVerdict) {
    case PublishVerdict::kAccepted:
    case PublishVerdict::kNoChange:
      return ExitStatus::kOk;
    case PublishVerdict::kLostRace:
      return ExitStatus::kLostRace;
    case PublishVerdict::kInvalid:
      return ExitStatus::kInvalid;
    case PublishVerdict::kUnavailable:
      return ExitStatus::kUnavailable;
    case PublishVerdict::kUnknown:
      return ExitStatus::kUnknown;
  }
  return ExitStatus::kFailed;
}

std::string PublishCommand::Usage() const
{
  return "FILE --log ADDRESS: publish a document and wait for the verdict";
}

void PublishCommand::AddOptions(Options& aOptions) const
{
  namespace options = boost::program_options;
  AddLogOptions(aOptions);
  aOptions.add_options()(
    "operator",
    options::value<std::string>()->default_value("operator")->value_name("NAME"),
    "who publishes, for the history")(
    "base",
    options::value<std::uint64_t>()->value_name("VERSION"),
    "version that the document was derived from; changes of others since then are kept")(
    "id",
    options::value<std::string>()->value_name("ID"),
    "id of an earlier publish with an unknown fate, to learn it")(
    "wait-in-force",
    options::value<std::uint32_t>()->value_name("SECONDS"),
    "wait until every member that --daemon knows has the version in force")(
    "daemon",
    options::value<std::string>()->value_name("ADDRESS"),
    "admin address of a daemon, for --wait-in-force");
}

ExitStatus PublishCommand::Run(const Values& aValues, Console& aConsole)
{
  const bool mustWait = aValues.contains("wait-in-force");
  if (mustWait) {
    RequiredAddress(aValues, "daemon");
  }
  PublishRequest request = BuildRequest(aValues, aConsole);
  const std::string id = request.id_.Get();
  aConsole.err_ << "publish id " << id << "\n";
  const PublishOutcome outcome = Publish(aValues, std::move(request), aConsole);
  ExitStatus status = ExitStatusFor(outcome.verdict_);
  json result = ToJson(outcome);
  result["id"] = id;
  if (!aConsole.isJson_) {
    aConsole.out_ << ToText(outcome) << std::flush;
  }
  if (mustWait && status == ExitStatus::kOk) {
    const bool isActive = WaitUntilActive(aValues, outcome.version_, aConsole);
    status = isActive ? ExitStatus::kOk : ExitStatus::kNotInForce;
    result["in_force"] = isActive;
  }
  if (aConsole.isJson_) {
    aConsole.out_ << result.dump() << "\n";
  }
  return status;
}

PublishRequest PublishCommand::BuildRequest(const Values& aValues, Console& aConsole)
{
  PublishRequest request;
  request.desiredState_ = ReadDocument(RequiredValue(aValues, "file"), aConsole);
  request.id_ =
    config::PublishId(aValues.contains("id") ? aValues["id"].as<std::string>() : NewPublishId());
  request.operator_ = aValues["operator"].as<std::string>();
  request.publishedAtMs_ = common::WallClockMs();
  if (aValues.contains("base")) {
    request.baseVersion_ = common::Version(aValues["base"].as<std::uint64_t>());
  }
  return request;
}

PublishOutcome PublishCommand::Publish(const Values& aValues,
                                       PublishRequest aRequest,
                                       Console& aConsole)
{
  LogAccess access(aValues);
  PublisherSettings settings;
  settings.timeout_ = TimeoutOf(aValues);
  PublishTask task(access.loop_, access.log_, settings, std::move(aRequest));
  PublishOutcome outcome;
  task.Start([&aConsole](const std::string& aStep) { aConsole.err_ << aStep << std::endl; },
             [&](const PublishOutcome& aOutcome) {
               outcome = aOutcome;
               access.loop_.Stop();
             });
  access.loop_.Run();
  return outcome;
}

bool PublishCommand::WaitUntilActive(const Values& aValues,
                                     common::Version aVersion,
                                     Console& aConsole)
{
  const auto timeout = std::chrono::seconds(aValues["wait-in-force"].as<std::uint32_t>());
  const common::TimePoint deadline = common::Now() + timeout;
  AdminClient client(RequiredAddress(aValues, "daemon"), kStatusTimeout);
  std::string lastProgress;
  while (true) {
    const std::optional<std::string> answer = client.Get("/status");
    common::Findings findings;
    const FleetStatus status = answer ? ParseFleetStatus(*answer, findings) : FleetStatus();
    const bool hasStatus = answer && findings.IsEmpty();
    if (hasStatus && status.IsActiveEverywhere(aVersion)) {
      aConsole.err_ << "in force on all of " << status.CountMembers() << " members" << std::endl;
      return true;
    }
    const std::string progress =
      hasStatus ? "in force on " + std::to_string(status.CountMembersAtOrAbove(aVersion)) + " of " +
                    std::to_string(status.CountMembers()) + " members"
                : "no status: " + (answer ? findings.ToString() : client.Error());
    if (progress != lastProgress) {
      aConsole.err_ << progress << std::endl;
      lastProgress = progress;
    }
    if (common::Now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kStatusInterval);
  }
}

} // namespace dandelionstand::operators
