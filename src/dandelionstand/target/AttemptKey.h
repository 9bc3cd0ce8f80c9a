#ifndef dandelionstand_target_AttemptKey_h
#define dandelionstand_target_AttemptKey_h

#include "dandelionstand/common/Ids.h"

#include <compare>
#include <cstdint>

namespace dandelionstand::target {

//! Names one attempt at the target side: the caller side's incarnation and its numbers.
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
