#ifndef dandelionstand_platform_PlatformBounds_h
#define dandelionstand_platform_PlatformBounds_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/common/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::platform {

//! Limits set by the platform that the daemon's policies depend on.
struct PlatformBounds
{
  common::Duration gracePeriod_ = std::chrono::seconds(6); //!< From SIGTERM to SIGKILL.
  //! Time within which an acknowledged configuration must be active everywhere.
  common::Duration configApplyLimit_ = std::chrono::seconds(2);
  double retryBudgetRatio_ = 0.2; //!< Allowed retries per first attempt.
  common::Duration retryBudgetWindow_ = std::chrono::seconds(10); //!< Window of the retry budget.
  //! Time after which a revoked key is not accepted any more anywhere, even by a daemon that is cut
  //! off; nullopt if such a daemon may go on.
  std::optional<common::Duration> revocationLimit_;
  //! Window of the quotas of organisations; nullopt if quotas are not enforced.
  std::optional<common::Duration> quotaWindow_;
  double quotaOverage_ = 0;     //!< Share of its quota that an organisation may use beyond it.
  double quotaSlack_ = 0;       //!< Requests in a window that it may use beyond that.
  double retryBudgetSlack_ = 0; //!< Allowed retries per window on top of the ratio.
};

//! Parses settings such as "grace-period-s=6". Names that no policy depends on are ignored.
PlatformBounds ParseBounds(const std::vector<std::string>& aSettings, common::Findings& aFindings);

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_PlatformBounds_h
