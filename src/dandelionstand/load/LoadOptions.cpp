#include "dandelionstand/load/LoadOptions.h"

#include <sstream>
#include <utility>

namespace dandelionstand::load {

namespace {

using common::Findings;

constexpr double kMaxCallsPerSecond = 100'000;
constexpr double kMaxStepSeconds = 24 * 3600;
constexpr std::uint32_t kMaxPercent = 100;

common::Place OptionPlace(const std::string& aOption)
{
  return { "command line", 0, aOption };
}

std::optional<RateStep> ParseRateStep(const std::string& aText)
{
  std::istringstream stream(aText);
  double rate = 0;
  double seconds = 0;
  char colon = 0;
  stream >> rate >> colon >> seconds;
  const bool isParsed = !stream.fail() && stream.eof() && colon == ':';
  if (!isParsed || rate < 0 || rate > kMaxCallsPerSecond || seconds <= 0 ||
      seconds > kMaxStepSeconds) {
    return std::nullopt;
  }
  const auto stepDuration =
    std::chrono::duration_cast<common::Duration>(std::chrono::duration<double>(seconds));
  return RateStep{ rate, stepDuration };
}

std::vector<common::Address> ParseAddresses(const std::vector<std::string>& aTexts,
                                            const std::string& aOption,
                                            Findings& aFindings)
{
  std::vector<common::Address> addresses;
  for (const std::string& text : aTexts) {
    const std::size_t colon = text.rfind(':');
    const bool hasPort = colon != std::string::npos && colon > 0 && colon + 1 < text.size() &&
                         text.find_first_not_of("0123456789", colon + 1) == std::string::npos;
    if (!hasPort) {
      aFindings.Add(OptionPlace(aOption), "must be an address with a port: " + text);
    }
    addresses.emplace_back(text);
  }
  return addresses;
}

std::vector<CallClass> ParseClasses(const LoadOptions& aOptions, Findings& aFindings)
{
  std::optional<std::vector<CallClass>> classes = ClassesOfUser(aOptions.user_);
  if (!classes) {
    aFindings.Add(OptionPlace("user"), "must be zafukreis or blue-mahoe: " + aOptions.user_);
    return {};
  }
  if (!aOptions.mix_.empty() && !ApplyWeights(aOptions.mix_, *classes)) {
    aFindings.Add(OptionPlace("mix"), "must be a list of class=weight: " + aOptions.mix_);
  }
  for (CallClass& callClass : *classes) {
    const bool isDownload = callClass.trafficClass_ == config::TrafficClass::kDownload;
    if (isDownload && aOptions.downloadBytes_ > 0) {
      callClass.answerBytes_ = aOptions.downloadBytes_;
    }
  }
  return *classes;
}

} // namespace

std::optional<std::vector<RateStep>> ParseRates(const std::string& aText)
{
  std::vector<RateStep> steps;
  std::istringstream stream(aText);
  std::string item;
  while (std::getline(stream, item, ',')) {
    const std::optional<RateStep> step = ParseRateStep(item);
    if (!step) {
      return std::nullopt;
    }
    steps.push_back(*step);
  }
  if (steps.empty()) {
    return std::nullopt;
  }
  return steps;
}

LoadSettings ParseLoadOptions(const LoadOptions& aOptions, Findings& aFindings)
{
  LoadSettings settings;
  settings.entryPoints_ = ParseAddresses(aOptions.entryPoints_, "entry", aFindings);
  settings.directTargets_ = ParseAddresses(aOptions.directTargets_, "direct", aFindings);
  settings.runCounters_ = ParseAddresses(aOptions.runCounters_, "runs", aFindings);
  settings.classes_ = ParseClasses(aOptions, aFindings);
  settings.maxCalls_ = aOptions.maxCalls_;
  settings.seed_ = aOptions.seed_;
  settings.repeatPercent_ = aOptions.repeatPercent_;
  settings.connections_ = aOptions.connections_;
  settings.timeout_ = std::chrono::milliseconds(aOptions.timeoutMs_);
  settings.runName_ = "run-" + std::to_string(common::NewIncarnationNumber());
  if (auto steps = ParseRates(aOptions.rates_)) {
    settings.steps_ = std::move(*steps);
  } else {
    aFindings.Add(OptionPlace("rate"), "must be a list of rate:seconds: " + aOptions.rates_);
  }
  if (settings.entryPoints_.empty()) {
    aFindings.Add(OptionPlace("entry"), "is missing");
  }
  if (settings.repeatPercent_ > kMaxPercent) {
    aFindings.Add(OptionPlace("repeat-percent"), "must be at most 100");
  }
  if (settings.connections_ == 0) {
    aFindings.Add(OptionPlace("connections"), "must be at least 1");
  }
  return settings;
}

} // namespace dandelionstand::load
