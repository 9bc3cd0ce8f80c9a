#ifndef dandelionstand_target_ServiceTime_h
#define dandelionstand_target_ServiceTime_h

#include "dandelionstand/common/Time.h"

namespace dandelionstand::target {

//! RunningCount estimate of how long a target works on one request: mean and mean deviation.
class ServiceTime
{
public:
  void Add(common::Duration aSample);
  //! Adds the time of work that ended. Work that was cut short tells only how long it takes at
  //! least, so it counts if that is more than was known.
  void AddFinished(common::Duration aTime, bool aIsComplete);

  //! 0 before the first sample.
  common::Duration Mean() const { return mean_; }
  //! Mean plus the mean deviation: what about three requests in four stay below.
  common::Duration MeanPlusDeviation() const { return mean_ + deviation_; }
  //! Mean plus twice the mean deviation: what most requests stay below.
  common::Duration MeanPlusTwoDeviations() const { return mean_ + 2 * deviation_; }

private:
  bool hasSample_ = false;
  common::Duration mean_{ 0 };
  common::Duration deviation_{ 0 };
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_ServiceTime_h
