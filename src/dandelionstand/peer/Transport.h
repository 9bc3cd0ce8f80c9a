#ifndef dandelionstand_peer_Transport_h
#define dandelionstand_peer_Transport_h

#include "dandelionstand/common/Ids.h"

#include <sigc++/signal.h>

#include <cstddef>
#include <string>

namespace dandelionstand::peer::wire {
class Envelope;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::peer {

//! Sender or receiver of a message: the address of a daemon, or the return path of an incoming
//! link.
struct PeerRef
{
  common::Address address_; //!< Set to use an outgoing link to that daemon, opened on demand.
  std::string returnPath_;  //!< Set to reply on the link that delivered a message.

  bool operator==(const PeerRef&) const = default;
};

//! Carries envelopes between daemons. Sending never blocks; delivery is not guaranteed.
class Transport
{
public:
  virtual ~Transport();

  //! Fills in the protocol version and the sender, then sends. False if the envelope was dropped at
  //! once.
  virtual bool Send(const PeerRef& aTo, wire::Envelope& aEnvelope) = 0;

  //! Emitted for each valid envelope received, except link heartbeats.
  sigc::signal<void, const PeerRef&, const wire::Envelope&>& Received() { return received_; }
  //! Emitted with the number of bytes of each message sent, except link heartbeats.
  sigc::signal<void, std::size_t>& Sent() { return sent_; }
  //! Emitted when an unresponsive outgoing link was replaced; messages in transit on it are lost.
  sigc::signal<void, const common::Address&>& LinkLost() { return linkLost_; }

private:
  sigc::signal<void, const PeerRef&, const wire::Envelope&> received_;
  sigc::signal<void, std::size_t> sent_;
  sigc::signal<void, const common::Address&> linkLost_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_Transport_h
