#ifndef dandelionstand_daemon_PlatformPolicy_h
#define dandelionstand_daemon_PlatformPolicy_h

#include "dandelionstand/caller/CallPolicy.h"
#include "dandelionstand/caller/RetryBudget.h"
#include "dandelionstand/peer/Membership.h"
#include "dandelionstand/platform/PlatformBounds.h"

#include <cstddef>
#include <vector>

namespace dandelionstand::daemon {

//! Retry and deadline policy of calls on the users' platform.
caller::CallPolicy PlatformCallPolicy();

//! Retry budget of one daemon; aLiveDaemons daemons share the platform's retry reserve.
caller::RetryBudgetSettings PlatformRetryBudget(const platform::PlatformBounds& aBounds,
                                                std::ptrdiff_t aLiveDaemons);

//! Membership settings for the users' platform, without seeds.
peer::MembershipSettings PlatformMembership();

//! Returns the peer addresses of the daemons on other instances. aInstances holds any address of
//! each instance. The port is that of aSelf, since it is the same on all instances; the instance of
//! aSelf is left out.
std::vector<common::Address> ToPeerAddresses(const std::vector<common::Address>& aInstances,
                                             const common::Address& aSelf);

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_PlatformPolicy_h
