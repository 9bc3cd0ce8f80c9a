#ifndef dandelionstand_peer_DocumentExchange_h
#define dandelionstand_peer_DocumentExchange_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <map>
#include <optional>

namespace dandelionstand::peer {

//! Decides when a daemon asks another one for the configuration document.
//!
//! Versions ride on the messages of the membership. Each daemon follows the store by itself; only
//! if it stays behind a peer for a while, as one that is cut off from the store, it asks that
//! peer.
class DocumentExchange
{
public:
  //! A peer was heard to have a version in force.
  void OnHeard(const common::Address& aPeer, common::Version aVersion, common::TimePoint aNow);
  //! The own version changed.
  void OnVersion(common::Version aVersion);
  //! The peer to ask now, if any.
  std::optional<common::Address> Tick(common::TimePoint aNow);

private:
  common::Version own_;
  common::Version highest_;
  common::Address highestAt_;
  std::optional<common::TimePoint> behindSince_;
  common::TimePoint nextQuestion_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_DocumentExchange_h
