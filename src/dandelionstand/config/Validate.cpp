#include "dandelionstand/config/Validate.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::config {

namespace {

//! Keeps a state, and so its snapshot, within what one record of the log holds.
constexpr std::size_t kMaxResources = 4'000;

class Validator
{
public:
  Validator(const ConfigState& aState, const PlaceOf& aPlaceOf, common::Findings& aFindings)
    : state_(aState)
    , placeOf_(aPlaceOf)
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
    findings_.Add(placeOf_(aResource, aKey), aMessage);
  }

  void CheckLimits(const ResourceKey& aResource, const Limits& aLimits)
  {
    if (aLimits.connections_ < aLimits.slots_) {
      Add(aResource, "connections", "must be at least slots, or slots stay empty");
    }
  }

  // An empty reference has its finding from the reader.
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

  //! Two routes with one prefix and a method in common would make the choice depend on names.
  void CheckOverlaps()
  {
    std::map<std::pair<std::string, std::string>, std::string> taken;
    for (const auto& [name, route] : state_.routes_) {
      for (const std::string& method : route.value_.methods_) {
        const auto [found, isNew] =
          taken.emplace(std::make_pair(route.value_.pathPrefix_, method), name.Get());
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
    const std::size_t count =
      state_.limits_.size() + state_.endpoints_.size() + state_.routes_.size();
    if (count > kMaxResources) {
      findings_.Add({ placeOf_({ ResourceKind::kLimits, "" }, "").source_, 0, "" },
                    "holds more than " + std::to_string(kMaxResources) + " resources");
    }
  }

  const ConfigState& state_;
  const PlaceOf& placeOf_;
  common::Findings& findings_;
};

} // namespace

void Validate(const ConfigState& aState, const PlaceOf& aPlaceOf, common::Findings& aFindings)
{
  Validator(aState, aPlaceOf, aFindings).Run();
}

PlaceOf PlacesIn(const std::string& aSource)
{
  return [aSource](const ResourceKey& aResource, const std::string& aKey) {
    const std::string below = aKey.empty() ? "" : "." + aKey;
    return common::Place{ aSource, 0, aResource.ToString() + below };
  };
}

} // namespace dandelionstand::config
