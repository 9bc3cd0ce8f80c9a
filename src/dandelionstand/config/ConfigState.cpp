#include "dandelionstand/config/ConfigState.h"

#include "dandelionstand/common/HttpHeaders.h"

#include <algorithm>
#include <string_view>

namespace dandelionstand::config {

namespace {

template<typename Map>
void AppendResources(std::vector<Resource>& aList, ResourceKind aKind, const Map& aMap)
{
  for (const auto& [name, versioned] : aMap) {
    aList.push_back({ { aKind, name.Get() }, versioned.value_, versioned.version_ });
  }
}

template<typename Map>
std::optional<Resource> FindIn(const Map& aMap, const ResourceKey& aKey)
{
  const auto found = aMap.find(typename Map::key_type(aKey.name_));
  if (found == aMap.end()) {
    return std::nullopt;
  }
  return Resource{ aKey, found->second.value_, found->second.version_ };
}

template<typename Map>
void PutInto(Map& aMap, const Resource& aResource)
{
  using Value = decltype(Map::mapped_type::value_);
  aMap[typename Map::key_type(aResource.key_.name_)] = { std::get<Value>(aResource.value_),
                                                         aResource.version_ };
}

//! Returns the host of an authority, which may end with a port.
std::string_view HostOf(std::string_view aAuthority)
{
  const auto colon = aAuthority.rfind(':');
  const auto bracket = aAuthority.rfind(']'); // Of an IPv6 address, which has colons itself.
  const bool hasPort =
    colon != std::string_view::npos && (bracket == std::string_view::npos || bracket < colon);
  return hasPort ? aAuthority.substr(0, colon) : aAuthority;
}

bool HasHost(const Route& aRoute, std::string_view aHost)
{
  return aRoute.host_.size() == aHost.size() && common::EqualsIgnoringCase(aRoute.host_, aHost);
}

} // namespace

const std::pair<const RouteName, Versioned<Route>>* ConfigState::Match(
  const std::string& aHost,
  const std::string& aMethod,
  const std::string& aPath) const
{
  const std::pair<const RouteName, Versioned<Route>>* best = nullptr;
  const std::string_view host = HostOf(aHost);
  for (const auto& entry : routes_) {
    const Route& route = entry.second.value_;
    // The cheapest check comes first: a configuration has a thousand routes and more.
    if (!aPath.starts_with(route.pathPrefix_)) {
      continue;
    }
    const bool isHostMatch = route.host_.empty() || HasHost(route, host) || HasHost(route, aHost);
    const bool isMethodMatch =
      route.methods_.empty() ||
      std::find(route.methods_.begin(), route.methods_.end(), aMethod) != route.methods_.end();
    if (!isHostMatch || !isMethodMatch) {
      continue;
    }
    if (best == nullptr || route.pathPrefix_.size() > best->second.value_.pathPrefix_.size()) {
      best = &entry;
    }
  }
  return best;
}

std::vector<Resource> ConfigState::Resources() const
{
  std::vector<Resource> list;
  AppendResources(list, ResourceKind::kLimits, limits_);
  AppendResources(list, ResourceKind::kEndpoints, endpoints_);
  AppendResources(list, ResourceKind::kRoute, routes_);
  return list;
}

std::optional<Resource> ConfigState::Find(const ResourceKey& aKey) const
{
  switch (aKey.kind_) {
    case ResourceKind::kLimits:
      return FindIn(limits_, aKey);
    case ResourceKind::kEndpoints:
      return FindIn(endpoints_, aKey);
    case ResourceKind::kRoute:
      return FindIn(routes_, aKey);
  }
  return std::nullopt;
}

void ConfigState::Put(const Resource& aResource)
{
  deleted_.erase(aResource.key_);
  switch (aResource.key_.kind_) {
    case ResourceKind::kLimits:
      return PutInto(limits_, aResource);
    case ResourceKind::kEndpoints:
      return PutInto(endpoints_, aResource);
    case ResourceKind::kRoute:
      return PutInto(routes_, aResource);
  }
}

void ConfigState::Erase(const ResourceKey& aKey, common::Version aVersion)
{
  deleted_[aKey] = aVersion;
  switch (aKey.kind_) {
    case ResourceKind::kLimits:
      limits_.erase(LimitsName(aKey.name_));
      return;
    case ResourceKind::kEndpoints:
      endpoints_.erase(common::ServiceName(aKey.name_));
      return;
    case ResourceKind::kRoute:
      routes_.erase(RouteName(aKey.name_));
      return;
  }
}

} // namespace dandelionstand::config
