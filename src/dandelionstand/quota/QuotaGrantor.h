#ifndef dandelionstand_quota_QuotaGrantor_h
#define dandelionstand_quota_QuotaGrantor_h

#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/peer/Member.h"
#include "dandelionstand/platform/LogGroups.h"
#include "dandelionstand/quota/GrantIssuer.h"
#include "dandelionstand/quota/GrantorLease.h"
#include "dandelionstand/quota/LeaseExchange.h"
#include "dandelionstand/quota/OwnerTable.h"
#include "dandelionstand/quota/QuotaLimits.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace dandelionstand::common {
class Counters;
} // namespace dandelionstand::common

namespace dandelionstand::peer::wire {
class QuotaReply;
class QuotaRequest;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::quota {

//! The part of a daemon that issues tokens: joins the store's group while the daemon is a
//! candidate, and answers requests for the organisations whose partitions it holds.
class QuotaGrantor
{
public:
  //! Returns the active configuration; may be null.
  using ConfigSource = std::function<config::ConfigStatePtr()>;

  //! aOwners: of this daemon; updated from the store while this daemon is a candidate.
  QuotaGrantor(common::Counters& aCounters,
               peer::ControlSender& aSender,
               peer::Transport& aTransport,
               platform::LogGroups& aGroups,
               ConfigSource aConfigSource,
               const peer::Member& aSelf,
               const QuotaRule& aRule,
               OwnerTable& aOwners);

  void SetCandidate(bool aIsCandidate) { isCandidate_ = aIsCandidate; }
  //! aUnmetCount: instances that are known from their join records only.
  void SetMembers(const peer::Members& aMembers, std::size_t aUnmetCount)
  {
    exchange_.SetMembers(aMembers, aUnmetCount);
  }
  //! To be called every GrantorLease::kJoinInterval.
  void Join();
  //! To be called several times a second.
  void Tick(common::TimePoint aNow) { exchange_.Tick(aNow); }
  //! The table of owners was replaced by one from a peer or the store.
  void OnOwnersChanged();

  //! Fills the grants in. False if this daemon does not grant for all the organisations.
  bool Issue(const common::InstanceId& aRequester,
             const peer::wire::QuotaRequest& aRequest,
             peer::wire::QuotaReply& aReply,
             common::TimePoint aNow);
  std::size_t PartitionCount(common::TimePoint aNow) const { return lease_.Held(aNow).size(); }

private:
  void OnJoined(const platform::GroupJoinResult& aResult, common::TimePoint aSentAt);
  Tenure TenureOf(std::uint32_t aPartition, common::TimePoint aSince) const;
  void ReadOwners(std::uint64_t aGeneration);
  bool AgreesWithOwners(const std::vector<std::uint32_t>& aPartitions) const;

  common::Counters& counters_;
  platform::LogGroups& groups_;
  ConfigSource configSource_;
  peer::Member self_;
  QuotaRule rule_;
  OwnerTable& owners_;
  GrantorLease lease_;
  LeaseExchange exchange_; //!< Uses lease_.
  GrantIssuer issuer_;
  bool isCandidate_ = false;
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_QuotaGrantor_h
