#ifndef dandelionstand_target_AttemptKey_h
#define dandelionstand_target_AttemptKey_h

#include "dandelionstand/common/Ids.h"

#include <compare>
#include <cstdint>

namespace dandelionstand::target {

//! Identifies an attempt on the target side: the caller's daemon and incarnation, and the numbers
//! that it assigned.
struct AttemptKey
{
  common::InstanceId callerInstance_;
  common::Incarnation callerIncarnation_;
  common::RequestId requestId_;
  std::uint32_t attempt_ = 0;

  auto operator<=>(const AttemptKey&) const = default;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_AttemptKey_h
