#ifndef dandelionstand_peer_ControlSender_h
#define dandelionstand_peer_ControlSender_h

#include "dandelionstand/peer/Member.h"
#include "dandelionstand/peer/Transport.h"

#include <array>
#include <map>
#include <string>

namespace dandelionstand::common {
class Counters;
} // namespace dandelionstand::common

namespace dandelionstand::peer {

//! Kinds of control messages, for the counters.
enum class ControlKind
{
  kMembership,
  kSpreading,
  kConvergence,
};

//! Sends control messages and counts messages and bytes by kind and by the border that they cross:
//! `control_bytes_sent_total{kind="spreading",border="other_region"}`.
class ControlSender
{
public:
  ControlSender(common::Counters& aCounters, Transport& aTransport, const Member& aSelf);

  void SetMembers(const Members& aMembers);

  void Send(const common::Address& aTo, ControlKind aKind, wire::Envelope& aEnvelope);
  //! Counts a received message. Until ClearReplyPath is called, messages to its sender go back on
  //! the link that delivered it.
  void OnReceived(const common::Address& aSender,
                  const PeerRef& aReplyPath,
                  ControlKind aKind,
                  const wire::Envelope& aEnvelope);
  void ClearReplyPath() { replyAddress_ = common::Address(); }

private:
  const char* BorderTo(const common::Address& aPeer) const;
  void Count(const char* aDirection,
             ControlKind aKind,
             const common::Address& aPeer,
             std::size_t aBytes);

  common::Counters& counters_;
  Transport& transport_;
  Member self_;
  std::map<common::Address, const char*> borders_;
  common::Address replyAddress_;
  PeerRef replyPath_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_ControlSender_h
