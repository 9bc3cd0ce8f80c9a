#include "dandelionstand/config/Validate.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::config {

namespace {

//! Keeps the snapshot of a state within the maximum size of one log record.
constexpr std::size_t kMaxStateBytes = 900'000;
//! Maximum encoded size of a resource or tombstone in a snapshot, not counting variable-length
//! texts.
constexpr std::size_t kMaxResourceBaseBytes = 240;
constexpr std::size_t kMaxTombstoneBaseBytes = 32;
//! JSON escapes some path characters with a backslash.
constexpr std::size_t kMaxJsonBytesPerCharacter = 2;

std::size_t MaxTextBytes(const ResourceValue& aValue)
{
  if (const auto* endpoints = std::get_if<Endpoints>(&aValue)) {
    return endpoints->limits_.Get().size();
  }
  if (const auto* route = std::get_if<Route>(&aValue)) {
    return kMaxJsonBytesPerCharacter * route->pathPrefix_.size() + route->endpoints_.Get().size();
  }
  return 0;
}

//! Upper bound of the encoded size of the state in a snapshot, before compression.
std::size_t MaxEncodedBytes(const ConfigState& aState)
{
  std::size_t bytes = 0;
  for (const Resource& resource : aState.Resources()) {
    bytes += kMaxResourceBaseBytes + resource.key_.name_.size() + MaxTextBytes(resource.value_);
  }
  for (const auto& [key, version] : aState.deleted_) {
    bytes += kMaxTombstoneBaseBytes + key.name_.size();
  }
  return bytes;
}

class Validator
{
public:
  Validator(const ConfigState& aState, const PlaceLookup& aPlaceLookup, common::Findings& aFindings)
    : state_(aState)
    , placeLookup_(aPlaceLookup)
    , findings_(aFindings)
  {
  }

  void Run()
  {
    for (const auto& [name, limits] : state_.limits_) {
      CheckLimits({ ResourceKind::kLimits, name.Get() }, limits.value_);
    }
    for (const auto& [name, endpoints] : state_.endpoints_) {
      CheckEndpoints({ ResourceKind::kEndpoints, name.Get() }, endpoints.value_);
    }
    for (const auto& [name, route] : state_.routes_) {
      CheckRoute({ ResourceKind::kRoute, name.Get() }, route.value_);
    }
    CheckOverlaps();
    CheckSize();
  }

private:
  void Add(const ResourceKey& aResource, const std::string& aKey, const std::string& aMessage)
  {
    findings_.Add(placeLookup_(aResource, aKey), aMessage);
  }

  void CheckLimits(const ResourceKey& aResource, const Limits& aLimits)
  {
    if (aLimits.connections_ < aLimits.slots_) {
      Add(aResource, "connections", "must be at least slots, or slots stay empty");
    }
  }

  // An empty reference has already been reported by the JSON reader.
  void CheckEndpoints(const ResourceKey& aResource, const Endpoints& aEndpoints)
  {
    if (!aEndpoints.limits_.Get().empty() && !state_.limits_.contains(aEndpoints.limits_)) {
      Add(aResource, "limits", "no limits named '" + aEndpoints.limits_.Get() + "'");
    }
  }

  void CheckRoute(const ResourceKey& aResource, const Route& aRoute)
  {
    if (!aRoute.endpoints_.Get().empty() && !state_.endpoints_.contains(aRoute.endpoints_)) {
      Add(aResource, "endpoints", "no endpoints named '" + aRoute.endpoints_.Get() + "'");
    }
    if (aRoute.idempotency_ == Idempotency::kOnce && aRoute.attempts_ > 1) {
      Add(aResource, "attempts", "must be 1 where idempotency is once");
    }
    if (aRoute.trafficClass_ == TrafficClass::kDownload && !IsReadOnly(aRoute)) {
      Add(aResource, "methods", "must be GET or HEAD where class is download");
    }
  }

  static bool IsReadOnly(const Route& aRoute)
  {
    return std::all_of(
      aRoute.methods_.begin(), aRoute.methods_.end(), [](const std::string& aMethod) {
        return aMethod == "GET" || aMethod == "HEAD";
      });
  }

  //! Refuses routes that share a prefix and a method, since their names would decide which one
  //! matches.
  void CheckOverlaps()
  {
    std::map<std::pair<std::string, std::string>, std::string> routeNames;
    for (const auto& [name, route] : state_.routes_) {
      for (const std::string& method : route.value_.methods_) {
        const auto [found, isNew] =
          routeNames.emplace(std::make_pair(route.value_.pathPrefix_, method), name.Get());
        if (!isNew && found->second != name.Get()) {
          Add({ ResourceKind::kRoute, name.Get() },
              "path_prefix",
              "route '" + found->second + "' has it already for " + method);
        }
      }
    }
  }

  void CheckSize()
  {
    if (MaxEncodedBytes(state_) > kMaxStateBytes) {
      findings_.Add({ placeLookup_({ ResourceKind::kLimits, "" }, "").source_, 0, "" },
                    "makes the configuration and its retained tombstones too large for a snapshot");
    }
  }

  const ConfigState& state_;
  const PlaceLookup& placeLookup_;
  common::Findings& findings_;
};

} // namespace

void Validate(const ConfigState& aState,
              const PlaceLookup& aPlaceLookup,
              common::Findings& aFindings)
{
  Validator(aState, aPlaceLookup, aFindings).Run();
}

PlaceLookup MakePlaceLookup(const std::string& aSource)
{
  return [aSource](const ResourceKey& aResource, const std::string& aKey) {
    const std::string pathSuffix = aKey.empty() ? "" : "." + aKey;
    return common::Place{ aSource, 0, aResource.ToString() + pathSuffix };
  };
}

} // namespace dandelionstand::config
