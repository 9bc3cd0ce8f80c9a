#ifndef dandelionstand_peer_PushReceivers_h
#define dandelionstand_peer_PushReceivers_h

#include "dandelionstand/peer/Member.h"
#include "dandelionstand/peer/SpreadingSettings.h"

namespace dandelionstand::peer {

//! Members that aSelf passes a push on to, if the push began at the reader aOrigin.
//! The reader sends to the best-ranked members of each other failure domain of its region; inside a
//! domain a tree is laid over the ranked members, with the reader at its root in its own domain.
Members PushTargets(const Members& aMembers,
                    const Member& aSelf,
                    const common::InstanceId& aOrigin,
                    const SpreadingSettings& aSettings);

//! Time after the last sign of a reader when aSelf is to read the log itself; false if others stand
//! in before it. The best-ranked members of the region come first, then those of the own domain,
//! so that a cut-off domain finds a reader too.
bool StandInDelay(const Members& aMembers,
                  const Member& aSelf,
                  const SpreadingSettings& aSettings,
                  common::Duration& aDelay);

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_PushReceivers_h
