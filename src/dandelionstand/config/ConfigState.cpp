#include "dandelionstand/config/ConfigState.h"

#include <algorithm>

namespace dandelionstand::config {

const std::pair<const RouteName, Versioned<Route>>* ConfigState::Match(
  const std::string& aMethod,
  const std::string& aPath) const
{
  const std::pair<const RouteName, Versioned<Route>>* best = nullptr;
  for (const auto& entry : routes_) {
    const Route& route = entry.second.value_;
    const bool takesMethod =
      std::find(route.methods_.begin(), route.methods_.end(), aMethod) != route.methods_.end();
    if (!takesMethod || !aPath.starts_with(route.pathPrefix_)) {
      continue;
    }
    if (best == nullptr || route.pathPrefix_.size() > best->second.value_.pathPrefix_.size()) {
      best = &entry;
    }
  }
  return best;
}

} // namespace dandelionstand::config
