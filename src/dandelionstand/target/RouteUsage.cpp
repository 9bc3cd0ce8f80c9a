#include "dandelionstand/target/RouteUsage.h"

#include <utility>

namespace dandelionstand::target {

void RouteUsage::RecordStart(const std::string& aRoute, bool aIsRetry, bool aIsLate)
{
  RouteUse& use = uses_[aRoute];
  ++use.started_;
  use.startedRetries_ += aIsRetry ? 1 : 0;
  use.startedLate_ += aIsLate ? 1 : 0;
}

void RouteUsage::RecordEnd(const std::string& aRoute, common::Duration aSlotTime, bool aIsAborted)
{
  RouteUse& use = uses_[aRoute];
  use.aborted_ += aIsAborted ? 1 : 0;
  use.slotTime_ += aSlotTime;
}

std::map<std::string, RouteUse> RouteUsage::Extract()
{
  return std::exchange(uses_, {});
}

} // namespace dandelionstand::target
