#include "dandelionstand/config/Publish.h"

namespace dandelionstand::config {

std::vector<Change> ChangesBetween(const ConfigState& aCurrent, const ConfigState& aDocument)
{
  std::vector<Change> changes;
  for (const Resource& wanted : aDocument.Resources()) {
    const std::optional<Resource> present = aCurrent.Find(wanted.key_);
    if (!present) {
      changes.push_back({ wanted.key_, common::Version(0), wanted.value_ });
    } else if (present->value_ != wanted.value_) {
      changes.push_back({ wanted.key_, present->version_, wanted.value_ });
    }
  }
  for (const Resource& present : aCurrent.Resources()) {
    if (!aDocument.Find(present.key_)) {
      changes.push_back({ present.key_, present.version_, std::nullopt });
    }
  }
  return changes;
}

} // namespace dandelionstand::config
