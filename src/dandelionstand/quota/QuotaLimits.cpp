#include "dandelionstand/quota/QuotaLimits.h"

#include "dandelionstand/common/Durations.h"
#include "dandelionstand/quota/GrantorLease.h"

#include <algorithm>

namespace dandelionstand::quota {

namespace {

constexpr int kLifetimesPerWindow = 10;
//! Parts of the quota and of the slack that daemons without a grantor may spend. The rest covers
//! the tokens that are valid beyond a window and the change of a grantor.
constexpr double kAutonomousQuotaShare = 0.05;
constexpr double kAutonomousSlackShare = 0.5;

} // namespace

common::Duration TokenLifetime(const QuotaRule& aRule)
{
  return aRule.window_ / kLifetimesPerWindow;
}

QuotaLimits::QuotaLimits(const organisations::Organisation& aOrganisation, const QuotaRule& aRule)
{
  const double window = common::ToSeconds(aRule.window_);
  const double lifetime = common::ToSeconds(TokenLifetime(aRule));
  const double quota = aOrganisation.ratePerSecond_ * window + aOrganisation.burst_;
  maxInWindow_ = quota * (1 + aRule.overage_) + aRule.slack_;
  autonomousShare_ = kAutonomousQuotaShare * quota + kAutonomousSlackShare * aRule.slack_;
  // In a window a grantor's daemons spend at most its bucket and what it issues in the window and
  // in one lifetime before it.
  const double forGrantor = maxInWindow_ - autonomousShare_;
  const double spread = window + lifetime;
  capacity_ = std::max(
    1.0, std::min(aOrganisation.burst_, forGrantor - aOrganisation.ratePerSecond_ * spread));
  rate_ = std::clamp((forGrantor - capacity_) / spread, 0.0, aOrganisation.ratePerSecond_);
  const double reserve = forGrantor - rate_ * spread - capacity_;
  startLevel_ =
    std::min(capacity_, reserve - rate_ * common::ToSeconds(GrantorLease::kJoinInterval));
}

} // namespace dandelionstand::quota
