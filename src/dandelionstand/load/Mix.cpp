#include "dandelionstand/load/Mix.h"

#include <array>
#include <sstream>
#include <utility>

namespace dandelionstand::load {

using config::TrafficClass;

namespace {

constexpr std::uint64_t kBrowseBytes = 4096;
constexpr std::uint64_t kLookupBytes = 1024;
constexpr std::uint64_t kDownloadBytes = 1'048'576;

constexpr std::array kTrafficClasses = { TrafficClass::kOrder,
                                         TrafficClass::kLookup,
                                         TrafficClass::kDownload,
                                         TrafficClass::kBrowse };

struct PathPrefixes
{
  std::string browse_;
  std::string lookup_;
  std::string order_;
  std::string download_;
};

std::vector<CallClass> MakeClasses(const PathPrefixes& aPrefixes)
{
  return {
    { TrafficClass::kBrowse, "GET", aPrefixes.browse_, 60, false, kBrowseBytes },
    { TrafficClass::kLookup, "GET", aPrefixes.lookup_, 35, false, kLookupBytes },
    { TrafficClass::kOrder, "POST", aPrefixes.order_, 4, true, 0 },
    { TrafficClass::kDownload, "GET", aPrefixes.download_, 1, false, kDownloadBytes },
  };
}

std::string MakePath(const CallClass& aClass, const std::string& aNumber)
{
  const std::string path = aClass.pathPrefix_ + "/" + aNumber;
  return aClass.answerBytes_ == 0 ? path : path + "?bytes=" + std::to_string(aClass.answerBytes_);
}

std::optional<TrafficClass> ParseTrafficClass(const std::string& aName)
{
  for (const TrafficClass value : kTrafficClasses) {
    if (config::ToText(value) == aName) {
      return value;
    }
  }
  return std::nullopt;
}

bool ParseWeight(const std::string& aText, std::uint32_t& aWeight)
{
  std::istringstream stream(aText);
  stream >> aWeight;
  return !stream.fail() && stream.eof();
}

bool ApplyWeight(const std::string& aItem, std::vector<CallClass>& aClasses)
{
  const std::size_t equals = aItem.find('=');
  if (equals == std::string::npos) {
    return false;
  }
  const std::optional<TrafficClass> trafficClass = ParseTrafficClass(aItem.substr(0, equals));
  std::uint32_t weight = 0;
  if (!trafficClass || !ParseWeight(aItem.substr(equals + 1), weight)) {
    return false;
  }
  for (CallClass& callClass : aClasses) {
    if (callClass.trafficClass_ == *trafficClass) {
      callClass.weight_ = weight;
    }
  }
  return true;
}

std::vector<double> WeightsOf(const std::vector<CallClass>& aClasses)
{
  std::vector<double> weights;
  for (const CallClass& callClass : aClasses) {
    weights.push_back(callClass.weight_);
  }
  return weights;
}

} // namespace

Mix::Mix(std::vector<CallClass> aClasses, std::string aRunName, std::uint64_t aSeed)
  : classes_(std::move(aClasses))
  , runName_(std::move(aRunName))
  , random_(aSeed)
{
  const std::vector<double> weights = WeightsOf(classes_);
  classDistribution_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

CallPlan Mix::Next()
{
  CallPlan plan;
  plan.classIndex_ = classDistribution_(random_);
  const CallClass& callClass = classes_[plan.classIndex_];
  const std::string number = std::to_string(++callCount_);
  plan.method_ = callClass.method_;
  plan.path_ = MakePath(callClass, number);
  plan.identity_ = runName_ + "-" + number;
  plan.answerBytes_ = callClass.answerBytes_;
  if (callClass.isKeyed_) {
    plan.idempotencyKey_ = "key-" + plan.identity_;
  }
  return plan;
}

std::optional<std::vector<CallClass>> ClassesOfUser(const std::string& aUser)
{
  if (aUser == "zafukreis") {
    return MakeClasses({ "/katalog", "/katalog/intern", "/bestellung", "/schnittmuster" });
  }
  if (aUser == "blue-mahoe") {
    return MakeClasses({ "/orderbook", "/orderbook/status", "/reorder-desk", "/proofroom" });
  }
  return std::nullopt;
}

bool ApplyWeights(const std::string& aText, std::vector<CallClass>& aClasses)
{
  std::vector<CallClass> newClasses = aClasses;
  for (CallClass& callClass : newClasses) {
    callClass.weight_ = 0;
  }
  std::istringstream stream(aText);
  std::string item;
  bool hasWeight = false;
  while (std::getline(stream, item, ',')) {
    if (!ApplyWeight(item, newClasses)) {
      return false;
    }
    hasWeight = true;
  }
  if (hasWeight) {
    aClasses = std::move(newClasses);
  }
  return hasWeight;
}

} // namespace dandelionstand::load
