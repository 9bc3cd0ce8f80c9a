#include "dandelionstand/caller/DrainAdmission.h"

namespace dandelionstand::caller {

void DrainAdmission::Start(const DrainTimes& aTimes, common::TimePoint aNow)
{
  isDraining_ = true;
  acceptAllUntil_ = aNow + aTimes.acceptAllPeriod_;
  drainEndsAt_ = aNow + aTimes.drainPeriod_;
}

void DrainAdmission::Stop()
{
  isDraining_ = true;
  acceptAllUntil_ = {};
  drainEndsAt_ = {};
}

bool DrainAdmission::Admits(common::TimePoint aDeadline, common::TimePoint aNow) const
{
  return !isDraining_ || aNow < acceptAllUntil_ || aDeadline <= drainEndsAt_;
}

} // namespace dandelionstand::caller
