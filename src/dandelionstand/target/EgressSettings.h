#ifndef dandelionstand_target_EgressSettings_h
#define dandelionstand_target_EgressSettings_h

#include "dandelionstand/common/Ids.h"

#include <cstdint>
#include <optional>

namespace dandelionstand::target {

//! Bandwidth for the answers of an instance.
struct EgressSettings
{
  common::InstanceId instance_; //!< Answers to its own callers do not use the link.
  //! Bandwidth of the instance's link; nullopt if it is unlimited.
  std::optional<std::uint64_t> bytesPerSecond_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_EgressSettings_h
