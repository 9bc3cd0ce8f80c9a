#ifndef dandelionstand_peer_DocumentExchange_h
#define dandelionstand_peer_DocumentExchange_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <map>
#include <optional>

namespace dandelionstand::peer {

//! Decides when a daemon queries a peer for the configuration document.
//!
//! Every daemon normally reads the document from the store. Membership messages carry the sender's
//! active version; a daemon that stays behind a peer, for example because it cannot reach the
//! store, queries the peer with the highest version.
class DocumentExchange
{
public:
  //! A message of aPeer carried its active version.
  void OnPeerVersion(const common::Address& aPeer,
                     common::Version aVersion,
                     common::TimePoint aNow);
  //! The active version of this daemon changed.
  void OnLocalVersion(common::Version aVersion);
  //! The peer to query now, if any.
  std::optional<common::Address> Tick(common::TimePoint aNow);

private:
  common::Version localVersion_;
  common::Version highestPeerVersion_;
  common::Address highestPeer_; //!< Has highestPeerVersion_.
  std::optional<common::TimePoint> behindSince_;
  common::TimePoint nextQuery_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_DocumentExchange_h
