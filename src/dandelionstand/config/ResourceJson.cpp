#include "dandelionstand/config/ResourceJson.h"

#include <algorithm>
#include <array>
#include <utility>

namespace dandelionstand::config {

namespace {

using common::JsonReader;
using common::Range;
using nlohmann::json;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxPathLength = 256;
constexpr std::size_t kMaxResourceBytes = 8'192;
constexpr Range kSlotsRange{ 1, 10'000 };
constexpr Range kConnectionsRange{ 1, 10'000 };
constexpr Range kQueueLengthRange{ 0, 100'000 };
constexpr Range kPercentRange{ 0, 100 };
constexpr Range kTimeoutMsRange{ 1, 3'600'000 };
constexpr Range kAttemptsRange{ 1, 10 };

const std::array<const char*, 3> kIdempotencyNames{ "idempotent", "keyed", "once" };
const std::array<const char*, 4> kTrafficClassNames{ ToText(TrafficClass::kOrder),
                                                     ToText(TrafficClass::kLookup),
                                                     ToText(TrafficClass::kDownload),
                                                     ToText(TrafficClass::kBrowse) };
const std::array<const char*, 7> kMethods{ "GET",    "HEAD",  "POST",   "PUT",
                                           "DELETE", "PATCH", "OPTIONS" };

template<typename Enum, typename Names>
Enum ReadEnum(JsonReader& aReader, const std::string& aKey, const Names& aNames, Enum aDefault)
{
  const std::vector<std::string> choices(aNames.begin(), aNames.end());
  const std::string text =
    aReader.Choice(aKey, choices, aNames.at(static_cast<std::size_t>(aDefault)));
  const auto found = std::find(choices.begin(), choices.end(), text);
  return static_cast<Enum>(found - choices.begin());
}

std::uint32_t ReadNumber(JsonReader& aReader,
                         const std::string& aKey,
                         std::uint32_t aDefault,
                         Range aRange)
{
  return static_cast<std::uint32_t>(aReader.Number(aKey, aDefault, aRange));
}

Limits ReadLimits(JsonReader& aReader)
{
  Limits limits;
  limits.slots_ = ReadNumber(aReader, "slots", limits.slots_, kSlotsRange);
  limits.connections_ = ReadNumber(aReader, "connections", limits.connections_, kConnectionsRange);
  limits.queueLength_ = ReadNumber(aReader, "queue_length", limits.queueLength_, kQueueLengthRange);
  limits.retryBudgetPercent_ =
    ReadNumber(aReader, "retry_budget_percent", limits.retryBudgetPercent_, kPercentRange);
  return limits;
}

Endpoints ReadEndpoints(JsonReader& aReader)
{
  return { LimitsName(aReader.RequiredString("limits")) };
}

bool IsPathCharacter(char aCharacter)
{
  return aCharacter > ' ' && aCharacter < '\x7f' && aCharacter != '?' && aCharacter != '#';
}

std::string ReadPathPrefix(JsonReader& aReader)
{
  std::string path = aReader.RequiredString("path_prefix");
  const bool isPath = path.empty() || (path[0] == '/' && path.size() <= kMaxPathLength &&
                                       std::all_of(path.begin(), path.end(), IsPathCharacter));
  if (!isPath) {
    aReader.AddFinding("path_prefix",
                       "must start with '/' and have at most 256 printable ASCII characters "
                       "without space, '?' and '#'");
    return "";
  }
  return path;
}

std::vector<std::string> ReadMethods(JsonReader& aReader)
{
  std::vector<std::string> methods = aReader.Strings("methods");
  if (methods.empty()) {
    aReader.AddFinding("methods", "must name at least one method");
  }
  for (const std::string& method : methods) {
    if (std::find(kMethods.begin(), kMethods.end(), method) == kMethods.end()) {
      aReader.AddFinding("methods", "'" + method + "' is not a supported method");
    }
  }
  std::sort(methods.begin(), methods.end());
  if (std::adjacent_find(methods.begin(), methods.end()) != methods.end()) {
    aReader.AddFinding("methods", "names a method twice");
  }
  return methods;
}

Route ReadRoute(JsonReader& aReader)
{
  Route route;
  route.pathPrefix_ = ReadPathPrefix(aReader);
  route.methods_ = ReadMethods(aReader);
  route.endpoints_ = common::ServiceName(aReader.RequiredString("endpoints"));
  route.idempotency_ = ReadEnum(aReader, "idempotency", kIdempotencyNames, route.idempotency_);
  route.trafficClass_ = ReadEnum(aReader, "class", kTrafficClassNames, route.trafficClass_);
  const auto defaultMs = std::chrono::duration_cast<std::chrono::milliseconds>(route.timeout_);
  route.timeout_ = std::chrono::milliseconds(
    aReader.Number("timeout_ms", static_cast<std::uint64_t>(defaultMs.count()), kTimeoutMsRange));
  const std::uint32_t defaultAttempts =
    route.idempotency_ == Idempotency::kOnce ? 1 : route.attempts_;
  route.attempts_ = ReadNumber(aReader, "attempts", defaultAttempts, kAttemptsRange);
  return route;
}

json LimitsToJson(const Limits& aLimits)
{
  return { { "slots", aLimits.slots_ },
           { "connections", aLimits.connections_ },
           { "queue_length", aLimits.queueLength_ },
           { "retry_budget_percent", aLimits.retryBudgetPercent_ } };
}

json RouteToJson(const Route& aRoute)
{
  const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(aRoute.timeout_);
  return { { "path_prefix", aRoute.pathPrefix_ },
           { "methods", aRoute.methods_ },
           { "endpoints", aRoute.endpoints_.Get() },
           { "idempotency", kIdempotencyNames.at(static_cast<std::size_t>(aRoute.idempotency_)) },
           { "class", kTrafficClassNames.at(static_cast<std::size_t>(aRoute.trafficClass_)) },
           { "timeout_ms", timeout.count() },
           { "attempts", aRoute.attempts_ } };
}

bool IsNameCharacter(char aCharacter)
{
  const bool isDigit = aCharacter >= '0' && aCharacter <= '9';
  const bool isUpper = aCharacter >= 'A' && aCharacter <= 'Z';
  const bool isLower = aCharacter >= 'a' && aCharacter <= 'z';
  return isDigit || isUpper || isLower || aCharacter == '-' || aCharacter == '_';
}

} // namespace

bool IsResourceName(const std::string& aName)
{
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         std::all_of(aName.begin(), aName.end(), IsNameCharacter);
}

ResourceValue ReadResource(ResourceKind aKind, JsonReader& aReader)
{
  ResourceValue value;
  switch (aKind) {
    case ResourceKind::kLimits:
      value = ReadLimits(aReader);
      break;
    case ResourceKind::kEndpoints:
      value = ReadEndpoints(aReader);
      break;
    case ResourceKind::kRoute:
      value = ReadRoute(aReader);
      break;
  }
  aReader.RejectUnknownKeys();
  return value;
}

std::optional<ResourceValue> ParseResource(const ResourceKey& aKey,
                                           const std::string& aText,
                                           const std::string& aSource,
                                           common::Findings& aFindings)
{
  if (aText.size() > kMaxResourceBytes) {
    aFindings.Add({ aSource, 0, aKey.ToString() }, "is longer than 8 KiB");
    return std::nullopt;
  }
  common::Findings findings;
  const common::LocatedJson document = common::ParseLocatedJson(aText, aSource, findings);
  std::optional<ResourceValue> value;
  if (findings.IsEmpty()) {
    JsonReader reader(document, "", findings);
    value = ReadResource(aKey.kind_, reader);
  }
  for (const common::Finding& finding : findings.All()) {
    const std::string pathSuffix = finding.place_.path_.empty() ? "" : "." + finding.place_.path_;
    aFindings.Add({ aSource, 0, aKey.ToString() + pathSuffix }, finding.message_);
  }
  return findings.IsEmpty() ? value : std::nullopt;
}

json ToJson(const ResourceValue& aValue)
{
  switch (KindOf(aValue)) {
    case ResourceKind::kLimits:
      return LimitsToJson(std::get<Limits>(aValue));
    case ResourceKind::kEndpoints:
      return { { "limits", std::get<Endpoints>(aValue).limits_.Get() } };
    case ResourceKind::kRoute:
      return RouteToJson(std::get<Route>(aValue));
  }
  return nullptr;
}

std::string CanonicalJson(const ResourceValue& aValue)
{
  return ToJson(aValue).dump();
}

json ToJson(const ConfigState& aState)
{
  json document = json::object();
  for (const ResourceKind kind :
       { ResourceKind::kLimits, ResourceKind::kEndpoints, ResourceKind::kRoute }) {
    document[SectionName(kind)] = json::object();
  }
  for (const Resource& resource : aState.Resources()) {
    document[SectionName(resource.key_.kind_)][resource.key_.name_] = ToJson(resource.value_);
  }
  return document;
}

} // namespace dandelionstand::config
