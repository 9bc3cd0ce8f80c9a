#ifndef dandelionstand_quota_QuotaTask_h
#define dandelionstand_quota_QuotaTask_h

#include "dandelionstand/peer/ControlSender.h"
#include "dandelionstand/platform/LogGroups.h"
#include "dandelionstand/quota/OwnerTable.h"
#include "dandelionstand/quota/QuotaGate.h"
#include "dandelionstand/quota/QuotaGrantor.h"
#include "dandelionstand/quota/QuotaLimits.h"
#include "dandelionstand/quota/TokenPool.h"

#include <nlohmann/json.hpp>
#include <sigc++/trackable.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelionstand::common {
class Counters;
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::peer::wire {
class QuotaReply;
class QuotaRequest;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::quota {

//! Requests tokens from the grantors of organisations for the requests of callers. Its QuotaGrantor
//! answers such requests of other daemons. All times are those of common::BootNow.
class QuotaTask
  : public QuotaGate
  , public sigc::trackable
{
public:
  using ConfigSource = QuotaGrantor::ConfigSource;

  QuotaTask(common::EventLoop& aLoop,
            common::Counters& aCounters,
            peer::ControlSender& aSender,
            peer::Transport& aTransport,
            platform::LogGroups& aGroups,
            ConfigSource aConfigSource,
            const peer::Member& aSelf,
            const QuotaRule& aRule);
  ~QuotaTask() override;

  void Admit(const organisations::Organisation& aOrganisation,
             common::Duration aTimeLeft,
             Callback aCallback) override;
  void ReturnToken(const common::OrganisationName& aOrganisation,
                   common::TimePoint aExpiresAt) override;

  //! aUnmetCount: instances that are known from their join records only.
  void SetMembers(const peer::Members& aMembers, std::size_t aUnmetCount);
  nlohmann::json Dump() const;

private:
  //! A request that waits for a token.
  struct Waiter
  {
    Callback callback_;
    common::TimePoint deadline_;
  };
  struct Account
  {
    Account(const organisations::Organisation& aOrganisation,
            const QuotaRule& aRule,
            common::TimePoint aAutonomousFrom)
      : organisation_(aOrganisation)
      , limits_(aOrganisation, aRule)
      , pool_(TokenLifetime(aRule), aAutonomousFrom)
    {
    }

    organisations::Organisation organisation_;
    QuotaLimits limits_;
    TokenPool pool_;
    std::deque<Waiter> waiters_;
    //! Since when its grantor has not replied, or none is known.
    std::optional<common::TimePoint> unansweredSince_;
  };
  //! A request to a grantor that has no reply yet.
  struct PendingRequest
  {
    common::Address grantor_;
    common::TimePoint sentAt_;
    std::vector<common::OrganisationName> organisations_;
  };

  Account& AccountOf(const organisations::Organisation& aOrganisation);

  void OnEnvelope(const peer::PeerRef& aFrom, const peer::wire::Envelope& aEnvelope);
  void OnRequest(const peer::PeerRef& aFrom,
                 const common::InstanceId& aRequester,
                 const peer::wire::QuotaRequest& aRequest);
  void OnReply(const common::Address& aSender, const peer::wire::QuotaReply& aReply);

  void Tick();
  void ExpireRequests(common::TimePoint aNow);
  //! Sends what the pools need, one message a grantor.
  void SendRequests(common::TimePoint aNow);
  void RequestOwners(common::TimePoint aNow);
  void SendRequest(const common::Address& aGrantor,
                   peer::wire::QuotaRequest aRequest,
                   std::vector<common::OrganisationName> aOrganisations,
                   common::TimePoint aNow);
  void ServeWaiters(Account& aAccount, common::TimePoint aNow);
  //! What this daemon may spend of the organisation's quota in a window without a grantor.
  std::size_t AutonomousShare(const Account& aAccount) const;
  void Decide(const Callback& aCallback, const QuotaDecision& aDecision);

  common::EventLoop& loop_;
  common::Counters& counters_;
  peer::ControlSender& sender_;
  peer::Transport& transport_;
  peer::Member self_;
  QuotaRule rule_;
  common::TimePoint startedAt_ = common::BootNow();
  OwnerTable owners_;
  QuotaGrantor grantor_; //!< Uses owners_.
  std::unordered_map<common::OrganisationName, std::unique_ptr<Account>> accounts_;
  std::vector<common::Address> candidates_; //!< Daemons that may be grantors, in rank order.
  std::size_t knownMembers_ = 1;
  std::size_t memberIndex_ = 0; //!< Of this daemon among the known members.
  std::uint64_t sequence_ = 0;
  std::map<std::uint64_t, PendingRequest> pending_; //!< By sequence.
  std::size_t nextCandidate_ = 0;                   //!< To request the owners from.
  common::TimePoint ownersRequestedAt_;
  std::unique_ptr<common::Watch> tick_;
  std::unique_ptr<common::Watch> joinTimer_;
  std::unique_ptr<common::Watch> flushTimer_;
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_QuotaTask_h
