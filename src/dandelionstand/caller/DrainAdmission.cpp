#include "dandelionstand/caller/DrainAdmission.h"

namespace dandelionstand::caller {

void DrainAdmission::Start(const DrainTimes& aTimes, common::TimePoint aNow)
{
  isDraining_ = true;
  takesAllUntil_ = aNow + aTimes.takesAll_;
  end_ = aNow + aTimes.end_;
}

void DrainAdmission::Stop()
{
  isDraining_ = true;
  takesAllUntil_ = {};
  end_ = {};
}

bool DrainAdmission::Takes(common::TimePoint aDeadline, common::TimePoint aNow) const
{
  return !isDraining_ || aNow < takesAllUntil_ || aDeadline <= end_;
}

} // namespace dandelionstand::caller
