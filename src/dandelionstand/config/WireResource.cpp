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
    aFindings.Add({ aSource, 0, "" }, "names a kind of resource that is not known");
    return std::nullopt;
  }
  if (!IsResourceName(aName)) {
    aFindings.Add({ aSource, 0, SectionName(static_cast<ResourceKind>(aKind)) },
                  "names a resource that cannot exist");
    return std::nullopt;
  }
  return ResourceKey{ static_cast<ResourceKind>(aKind), aName };
}

} // namespace dandelionstand::config
