#ifndef dandelionstand_quota_LeaseExchange_h
#define dandelionstand_quota_LeaseExchange_h

#include "dandelionstand/peer/ControlSender.h"
#include "dandelionstand/quota/LeaseNegotiation.h"
#include "dandelionstand/quota/LeaseVoter.h"
#include "dandelionstand/quota/OwnerTable.h"
#include "dandelionstand/quota/VoterRegistry.h"

#include <sigc++/trackable.h>

#include <vector>

namespace dandelionstand::common {
class Counters;
} // namespace dandelionstand::common

namespace dandelionstand::quota {

//! Exchanges queries and votes on leases with the other members. Each daemon votes; one that holds
//! partitions, or has some assigned, queries.
class LeaseExchange : public sigc::trackable
{
public:
  //! aLease: of this daemon; changed by the votes and by takeovers of others.
  LeaseExchange(common::Counters& aCounters,
                peer::ControlSender& aSender,
                peer::Transport& aTransport,
                const peer::Member& aSelf,
                GrantorLease& aLease);

  //! aUnmetCount: instances that are known from their join records only.
  void SetMembers(const peer::Members& aMembers, std::size_t aUnmetCount);
  void SetOwners(const OwnerTable& aOwners);
  //! To be called several times a second.
  void Tick(common::TimePoint aNow);

private:
  void OnEnvelope(const peer::PeerRef& aFrom, const peer::wire::Envelope& aEnvelope);
  LeaseVote Vote(const common::Address& aHolder, const LeaseQuery& aQuery, common::TimePoint aNow);
  void SendToVoters(const LeaseQuery& aQuery);
  void Report();

  common::Counters& counters_;
  peer::ControlSender& sender_;
  peer::Transport& transport_;
  peer::Member self_;
  GrantorLease& lease_;
  LeaseNegotiation negotiation_;
  LeaseVoter voter_;
  VoterRegistry registry_;
  Voters voters_;
  peer::Members members_;
  std::size_t unmetCount_ = 0;
  common::TimePoint registryUpdatedAt_;
  LeaseOutcomes reported_;
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_LeaseExchange_h
