#include "dandelionstand/config/WireResource.h"

#include "dandelionstand/config/ResourceJson.h"

namespace dandelionstand::config {

wire::ResourceKind ToWire(ResourceKind aKind)
{
  return static_cast<wire::ResourceKind>(aKind);
}

std::optional<ResourceKey> KeyFromWire(wire::ResourceKind aKind,
                                       const std::string& aName,
                                       const std::string& aSource,
                                       common::Findings& aFindings)
{
  if (!wire::ResourceKind_IsValid(aKind)) {
    aFindings.Add({ aSource, 0, "" }, "has an unknown resource kind");
    return std::nullopt;
  }
  if (!IsResourceName(aName)) {
    aFindings.Add({ aSource, 0, SectionName(static_cast<ResourceKind>(aKind)) },
                  "has an invalid resource name");
    return std::nullopt;
  }
  return ResourceKey{ static_cast<ResourceKind>(aKind), aName };
}

void ToWire(const Resource& aResource, wire::Resource& aMessage)
{
  aMessage.set_kind(ToWire(aResource.key_.kind_));
  aMessage.set_name(aResource.key_.name_);
  aMessage.set_version(aResource.version_.Get());
  aMessage.set_value(CanonicalJson(aResource.value_));
}

void ToWire(const ResourceKey& aKey, common::Version aVersion, wire::Tombstone& aMessage)
{
  aMessage.set_kind(ToWire(aKey.kind_));
  aMessage.set_name(aKey.name_);
  aMessage.set_version(aVersion.Get());
}

std::optional<Resource> ResourceFromWire(const wire::Resource& aMessage,
                                         const std::string& aSource,
                                         common::Findings& aFindings)
{
  const auto key = KeyFromWire(aMessage.kind(), aMessage.name(), aSource, aFindings);
  if (!key) {
    return std::nullopt;
  }
  const auto value = ParseResource(*key, aMessage.value(), aSource, aFindings);
  if (!value) {
    return std::nullopt;
  }
  return Resource{ *key, *value, common::Version(aMessage.version()) };
}

} // namespace dandelionstand::config
