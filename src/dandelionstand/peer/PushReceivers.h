#ifndef dandelionstand_peer_PushReceivers_h
#define dandelionstand_peer_PushReceivers_h

#include "dandelionstand/peer/Member.h"
#include "dandelionstand/peer/SpreadingSettings.h"

namespace dandelionstand::peer {

//! Members that aSelf forwards a push to, if the push started at the reader aOrigin.
//! The reader sends to the best-ranked members of each other failure domain of its region. Inside a
//! failure domain, records follow a tree over the ranked members; in the reader's own failure
//! domain the reader is the root.
Members PushReceivers(const Members& aMembers,
                      const Member& aSelf,
                      const common::InstanceId& aOrigin,
                      const SpreadingSettings& aSettings);

//! Sets aDelay to the time after the last sign of life of a reader when aSelf takes over reading
//! the log. Returns false if aSelf is not a backup reader. The best-ranked members of the region
//! take over first, then those of each failure domain, so that a failure domain that is cut off
//! from its region gets a reader too.
bool TakeoverDelay(const Members& aMembers,
                   const Member& aSelf,
                   const SpreadingSettings& aSettings,
                   common::Duration& aDelay);

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_PushReceivers_h
