#ifndef dandelionstand_config_ConfigState_h
#define dandelionstand_config_ConfigState_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/config/Resources.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::organisations {
class OrganisationTable;
} // namespace dandelionstand::organisations

namespace dandelionstand::config {

//! The value of a resource and the version that last changed it.
template<typename Value>
struct Versioned
{
  Value value_;
  common::Version version_;

  bool operator==(const Versioned&) const = default;
};

//! A resource of any kind: key, value and the version that last changed it.
struct Resource
{
  ResourceKey key_;
  ResourceValue value_;
  common::Version version_;

  bool operator==(const Resource&) const = default;
};

//! The complete configuration at one version. Immutable once shared; no reference dangles.
struct ConfigState
{
  common::Version version_;
  std::map<LimitsName, Versioned<Limits>> limits_;
  std::map<common::ServiceName, Versioned<Endpoints>> endpoints_;
  std::map<RouteName, Versioned<Route>> routes_;
  //! Tombstones: recently deleted resources and the versions that deleted them.
  std::map<ResourceKey, common::Version> deleted_;
  //! Limits on client requests; if not set, those of the daemon's settings apply.
  std::optional<ClientLimits> clientLimits_;
  //! Organisations and their keys; null if callers need no key.
  std::shared_ptr<const organisations::OrganisationTable> organisations_;

  bool operator==(const ConfigState&) const = default;

  //! The route with the longest matching path prefix among those that match host and method; null
  //! if there is none.
  const std::pair<const RouteName, Versioned<Route>>* Match(const std::string& aHost,
                                                            const std::string& aMethod,
                                                            const std::string& aPath) const;

  //! All resources, ordered by kind and name.
  std::vector<Resource> Resources() const;
  std::optional<Resource> Find(const ResourceKey& aKey) const;
  //! Adds or replaces a resource and removes its tombstone.
  void Put(const Resource& aResource);
  //! Removes a resource and adds a tombstone.
  void Erase(const ResourceKey& aKey, common::Version aVersion);
};

using ConfigStatePtr = std::shared_ptr<const ConfigState>;

} // namespace dandelionstand::config

#endif // dandelionstand_config_ConfigState_h
