#include "dandelionstand/config/Publish.h"

namespace dandelionstand::config {

std::vector<Change> ChangesBetween(const ConfigState& aCurrent, const ConfigState& aDocument)
{
  std::vector<Change> changes;
  for (const Resource& desired : aDocument.Resources()) {
    const std::optional<Resource> existing = aCurrent.Find(desired.key_);
    if (!existing) {
      changes.push_back({ desired.key_, common::Version(0), desired.value_ });
    } else if (existing->value_ != desired.value_) {
      changes.push_back({ desired.key_, existing->version_, desired.value_ });
    }
  }
  for (const Resource& existing : aCurrent.Resources()) {
    if (!aDocument.Find(existing.key_)) {
      changes.push_back({ existing.key_, existing.version_, std::nullopt });
    }
  }
  return changes;
}

} // namespace dandelionstand::config
