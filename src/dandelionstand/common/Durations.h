#ifndef dandelionstand_common_Durations_h
#define dandelionstand_common_Durations_h

#include "dandelionstand/common/Time.h"

namespace dandelionstand::common {

inline Duration Scale(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(static_cast<double>(aDuration.count()) * aFactor));
}

inline double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace dandelionstand::common

#endif // dandelionstand_common_Durations_h
