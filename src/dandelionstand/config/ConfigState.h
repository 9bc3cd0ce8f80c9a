#ifndef dandelionstand_config_ConfigState_h
#define dandelionstand_config_ConfigState_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/config/Resources.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::config {

//! A resource and the version that last changed it.
template<typename Value>
struct Versioned
{
  Value value_;
  common::Version version_;

  bool operator==(const Versioned&) const = default;
};

//! A resource of any kind with its name.
struct Resource
{
  ResourceKey key_;
  ResourceValue value_;
  common::Version version_;

  bool operator==(const Resource&) const = default;
};

//! The whole configuration at one version. Immutable once shared; closed under references.
struct ConfigState
{
  common::Version version_;
  std::map<LimitsName, Versioned<Limits>> limits_;
  std::map<common::ServiceName, Versioned<Endpoints>> endpoints_;
  std::map<RouteName, Versioned<Route>> routes_;
  //! Resources deleted of late and the versions that deleted them.
  std::map<ResourceKey, common::Version> deleted_;
  //! Set if the configuration says what clients may send; else the daemon's settings do.
  std::optional<ClientLimits> clientLimits_;

  bool operator==(const ConfigState&) const = default;

  //! The route of the host with the longest matching path prefix that takes the method; null if
  //! none does.
  const std::pair<const RouteName, Versioned<Route>>* Match(const std::string& aHost,
                                                            const std::string& aMethod,
                                                            const std::string& aPath) const;

  //! Every resource, ordered by kind and name.
  std::vector<Resource> Resources() const;
  std::optional<Resource> Find(const ResourceKey& aKey) const;
  //! Adds or replaces a resource; its tombstone goes.
  void Put(const Resource& aResource);
  //! Removes a resource and keeps a tombstone.
  void Erase(const ResourceKey& aKey, common::Version aVersion);
};

using ConfigStatePtr = std::shared_ptr<const ConfigState>;

} // namespace dandelionstand::config

#endif // dandelionstand_config_ConfigState_h
