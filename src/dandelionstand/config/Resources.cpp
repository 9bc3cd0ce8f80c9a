#include "dandelionstand/config/Resources.h"

namespace dandelionstand::config {

const char* SectionName(ResourceKind aKind)
{
  switch (aKind) {
    case ResourceKind::kLimits:
      return "limits";
    case ResourceKind::kEndpoints:
      return "endpoints";
    case ResourceKind::kRoute:
      return "routes";
  }
  return "";
}

std::string ResourceKey::ToString() const
{
  return std::string(SectionName(kind_)) + "." + name_;
}

const char* ToText(TrafficClass aClass)
{
  switch (aClass) {
    case TrafficClass::kOrder:
      return "order";
    case TrafficClass::kLookup:
      return "lookup";
    case TrafficClass::kDownload:
      return "download";
    case TrafficClass::kBrowse:
      return "browse";
  }
  return "";
}

ResourceKind KindOf(const ResourceValue& aValue)
{
  return static_cast<ResourceKind>(aValue.index());
}

} // namespace dandelionstand::config
