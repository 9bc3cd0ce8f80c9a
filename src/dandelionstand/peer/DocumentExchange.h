#ifndef dandelionstand_peer_DocumentExchange_h
#define dandelionstand_peer_DocumentExchange_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <map>
#include <optional>

namespace dandelionstand::peer {

//! Decides when a daemon queries a peer for the configuration document.
//!
//! A daemon that receives the confirmation of a version which it lacks queries the sender at once.
//! Membership messages carry the sender's active version too; a daemon that stays behind a peer,
//! for example because it cannot reach the store, queries the peer with the highest version.
class DocumentExchange
{
public:
  //! A message of aPeer carried its active version.
  void OnPeerVersion(const common::Address& aPeer,
                     common::Version aVersion,
                     common::TimePoint aNow);
  //! aPeer confirmed the version to this daemon and has its document.
  void OnConfirmedVersion(const common::Address& aPeer,
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
  common::Version queriedVersion_; //!< Highest version known at the last query.
  bool isConfirmed_ = false;       //!< highestPeerVersion_ was confirmed to this daemon.
  common::TimePoint nextQuery_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_DocumentExchange_h
