#ifndef dandelionstand_daemon_PlatformPolicy_h
#define dandelionstand_daemon_PlatformPolicy_h

#include "dandelionstand/caller/CallPolicy.h"
#include "dandelionstand/caller/RetryBudget.h"
#include "dandelionstand/peer/Membership.h"
#include "dandelionstand/platform/PlatformBounds.h"

#include <cstddef>
#include <vector>

namespace dandelionstand::daemon {

//! How calls are tried on the users' platform.
caller::CallPolicy PlatformCallPolicy();

//! One daemon's part of the retry budget that aLiveDaemons share.
caller::RetryBudgetSettings PlatformRetryBudget(const platform::PlatformBounds& aBounds,
                                                std::ptrdiff_t aLiveDaemons);

//! Intervals of membership on the users' platform; the seeds are left empty.
peer::MembershipSettings PlatformMembership();

//! Where the daemons of other machines listen for their peers, from any address of each machine.
//! Ports are the same on all machines, so they are those of aOwn, which is left out itself.
std::vector<common::Address> PeersAt(const std::vector<common::Address>& aMachines,
                                     const common::Address& aOwn);

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_PlatformPolicy_h
