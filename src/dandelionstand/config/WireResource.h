#ifndef dandelionstand_config_WireResource_h
#define dandelionstand_config_WireResource_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/config/generated/records.pb.h"

#include <optional>
#include <string>

namespace dandelionstand::config {

wire::ResourceKind ToWire(ResourceKind aKind);

//! Decodes kind and name. Returns none, and adds a finding, if either is invalid.
std::optional<ResourceKey> KeyFromWire(wire::ResourceKind aKind,
                                       const std::string& aName,
                                       const std::string& aSource,
                                       common::Findings& aFindings);

void ToWire(const Resource& aResource, wire::Resource& aMessage);
void ToWire(const ResourceKey& aKey, common::Version aVersion, wire::Tombstone& aMessage);

//! Decodes a resource. Returns none, and adds findings, if it is invalid.
std::optional<Resource> ResourceFromWire(const wire::Resource& aMessage,
                                         const std::string& aSource,
                                         common::Findings& aFindings);

} // namespace dandelionstand::config

#endif // dandelionstand_config_WireResource_h
