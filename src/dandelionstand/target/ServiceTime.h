#ifndef dandelionstand_target_ServiceTime_h
#define dandelionstand_target_ServiceTime_h

#include "dandelionstand/common/Time.h"

namespace dandelionstand::target {

//! Estimates the mean service time of requests at a target, and its mean deviation, by moving
//! averages.
class ServiceTime
{
public:
  void Add(common::Duration aSample);
  //! Adds the running time of finished work. For work that was aborted it is only a lower bound of
  //! the service time, so it is ignored unless it exceeds the mean.
  void AddFinished(common::Duration aTime, bool aIsComplete);

  //! 0 before the first sample.
  common::Duration Mean() const { return mean_; }
  //! About three requests in four take less time.
  common::Duration MeanPlusDeviation() const { return mean_ + deviation_; }
  //! Most requests take less time.
  common::Duration MeanPlusTwoDeviations() const { return mean_ + 2 * deviation_; }

private:
  bool hasSample_ = false;
  common::Duration mean_{ 0 };
  common::Duration deviation_{ 0 };
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_ServiceTime_h
