#ifndef dandelionstand_common_Milliseconds_h
#define dandelionstand_common_Milliseconds_h

#include "dandelionstand/common/Time.h"

namespace dandelionstand::common {

//! Converts to whole milliseconds, rounded down, as used for remaining times in messages, headers
//! and logs. Negative durations give 0.
inline std::uint64_t ToMilliseconds(Duration aDuration)
{
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

} // namespace dandelionstand::common

#endif // dandelionstand_common_Milliseconds_h
