#ifndef dandelionstand_peer_Transport_h
#define dandelionstand_peer_Transport_h

#include "dandelionstand/common/Ids.h"

#include <sigc++/signal.h>

#include <string>

namespace dandelionstand::peer::wire {
class Envelope;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::peer {

//! Where a message came from, or goes to: the address of a daemon, or the return path of a link.
struct PeerRef
{
  common::Address address_; //!< Set to open or use a link of our own to that daemon.
  std::string returnPath_;  //!< Set to answer on the link on which a message came.

  bool operator==(const PeerRef&) const = default;
};

//! Carries envelopes between daemons. Sending never blocks; delivery is not guaranteed.
class Transport
{
public:
  virtual ~Transport();

  //! Stamps the sender and sends. False if the envelope was dropped at once.
  virtual bool Send(const PeerRef& aTo, wire::Envelope& aEnvelope) = 0;

  //! Emitted for each valid envelope.
  sigc::signal<void, const PeerRef&, const wire::Envelope&>& Received() { return received_; }
  //! Emitted when a link of ours went silent and was replaced; what was under way on it is lost.
  sigc::signal<void, const common::Address&>& LinkLost() { return linkLost_; }

private:
  sigc::signal<void, const PeerRef&, const wire::Envelope&> received_;
  sigc::signal<void, const common::Address&> linkLost_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_Transport_h
