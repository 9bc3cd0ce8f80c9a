#ifndef dandelionstand_daemon_PlatformPolicy_h
#define dandelionstand_daemon_PlatformPolicy_h

#include "dandelionstand/caller/CallPolicy.h"
#include "dandelionstand/caller/RetryBudget.h"
#include "dandelionstand/peer/Membership.h"
#include "dandelionstand/platform/PlatformBounds.h"

#include <cstddef>

namespace dandelionstand::daemon {

//! How calls are tried on the users' platform.
caller::CallPolicy PlatformCallPolicy();

//! One daemon's part of the retry budget that aLiveDaemons share.
caller::RetryBudgetSettings PlatformRetryBudget(const platform::PlatformBounds& aBounds,
                                                std::ptrdiff_t aLiveDaemons);

//! Intervals of membership on the users' platform; the seeds are left empty.
peer::MembershipSettings PlatformMembership();

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_PlatformPolicy_h
