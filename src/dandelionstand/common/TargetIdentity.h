#ifndef dandelionstand_common_TargetIdentity_h
#define dandelionstand_common_TargetIdentity_h

#include <compare>
#include <cstdint>
#include <string>

namespace dandelionstand::common {

//! Identifies one incarnation of a target. A later incarnation may have the same ID.
struct TargetIdentity
{
  std::string incarnationId_;
  std::uint64_t startedAtMs_ = 0; //!< Wall-clock start time, ms since the epoch; 0 if unknown.

  auto operator<=>(const TargetIdentity&) const = default;
};

} // namespace dandelionstand::common

#endif // dandelionstand_common_TargetIdentity_h
