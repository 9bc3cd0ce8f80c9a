#ifndef dandelionstand_platform_PlatformBounds_h
#define dandelionstand_platform_PlatformBounds_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/common/Time.h"

#include <string>
#include <vector>

namespace dandelionstand::platform {

//! The figures of the platform's rules that decisions depend on, under the product's terms.
struct PlatformBounds
{
  common::Duration gracePeriod_ = std::chrono::seconds(6);        //!< From SIGTERM to SIGKILL.
  double retryBudgetRatio_ = 0.2;                                 //!< Retries by first attempts.
  common::Duration retryBudgetWindow_ = std::chrono::seconds(10); //!< Over which the share counts.
  double retryBudgetSlack_ = 0;                                   //!< Retries in a window on top.
};

//! Reads texts like "grace-period-s=6"; names that decide nothing here are passed over.
PlatformBounds ParseBounds(const std::vector<std::string>& aTexts, common::Findings& aFindings);

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_PlatformBounds_h
