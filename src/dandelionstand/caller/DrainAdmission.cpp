#include "dandelionstand/caller/DrainAdmission.h"

namespace dandelionstand::caller {

void DrainAdmission::Start(const DrainTimes& aTimes, common::TimePoint aNow)
{
  isDraining_ = true;
  takesAllUntil_ = aNow + aTimes.acceptAllPeriod_;
  drainPeriod_ = aNow + aTimes.drainPeriod_;
}

void DrainAdmission::Stop()
{
  isDraining_ = true;
  takesAllUntil_ = {};
  drainPeriod_ = {};
}

bool DrainAdmission::Takes(common::TimePoint aDeadline, common::TimePoint aNow) const
{
  return !isDraining_ || aNow < takesAllUntil_ || aDeadline <= drainPeriod_;
}

} // namespace dandelionstand::caller
