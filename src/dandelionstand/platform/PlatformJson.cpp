#include "dandelionstand/platform/PlatformJson.h"

namespace dandelionstand::platform {

namespace {

//! The platform's documents are nested up to 6 deep.
constexpr int kMaxDepth = 32;

} // namespace

nlohmann::json ParseJson(const std::string& aText)
{
  bool isTooDeep = false;
  // Values below the maximum depth are not stored.
  const auto isKept = [&](int aDepth, nlohmann::json::parse_event_t, nlohmann::json&) {
    isTooDeep = isTooDeep || aDepth > kMaxDepth;
    return aDepth <= kMaxDepth;
  };
  nlohmann::json value = nlohmann::json::parse(aText, isKept, false);
  return isTooDeep ? nlohmann::json(nlohmann::json::value_t::discarded) : value;
}

} // namespace dandelionstand::platform
