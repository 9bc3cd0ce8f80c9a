#ifndef dandelionstand_caller_CallerServer_h
#define dandelionstand_caller_CallerServer_h

#include "dandelionstand/caller/ActiveCall.h"
#include "dandelionstand/caller/CallPolicy.h"
#include "dandelionstand/caller/DrainAdmission.h"
#include "dandelionstand/caller/KeyedRequests.h"
#include "dandelionstand/caller/RequestAgeEstimator.h"
#include "dandelionstand/caller/ServicePolicies.h"
#include "dandelionstand/caller/TrafficSplit.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/http/Server.h"
#include "dandelionstand/organisations/Organisation.h"

#include <sigc++/signal.h>
#include <sigc++/trackable.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace dandelionstand::dialect {
class CallerDialect;
} // namespace dandelionstand::dialect

namespace dandelionstand::freshness {
class FreshnessSource;
} // namespace dandelionstand::freshness

namespace dandelionstand::quota {
class QuotaGate;
struct QuotaDecision;
} // namespace dandelionstand::quota

namespace dandelionstand::peer {
struct PeerRef;
} // namespace dandelionstand::peer

namespace dandelionstand::caller {

struct Authorization;

struct CallerServerSettings
{
  common::Address listen_;
  std::uint64_t maxBodyBytes_ = 1024UL * 1024;
  std::uint64_t maxHeaderBytes_ = 16UL * 1024;
  //! Limit on the total size of the request bodies of all calls.
  std::uint64_t bodyMemoryBytes_ = 32UL * 1024 * 1024;
  common::InstanceId instance_;
  common::Incarnation incarnation_;
  common::Address peerAddress_; //!< Where other daemons reach this daemon.
  common::FailureDomain failureDomain_;
  common::Region region_;
  std::uint64_t seed_ = 1; //!< Seeds the random choices: endpoints, traffic split, Retry-After.
  CallPolicy policy_;
};

//! Accepts HTTP requests from callers, routes them to endpoints and streams the answers back.
class CallerServer : public sigc::trackable
{
public:
  //! Returns the active configuration; null while there is none.
  using ConfigSource = std::function<config::ConfigStatePtr()>;

  CallerServer(common::EventLoop& aLoop,
               common::Counters& aCounters,
               peer::Transport& aTransport,
               platform::Log& aLog,
               const peer::EndpointDirectory& aDirectory,
               const dialect::CallerDialect& aDialect,
               ConfigSource aConfig,
               const CallerServerSettings& aSettings);
  ~CallerServer();

  //! Emitted with the size of each piece of an answer's body that is sent to a caller.
  sigc::signal<void, std::size_t>& BodySent() { return bodySent_; }
  const common::Address& BoundAddress() const { return server_.BoundAddress(); }
  //! Refuses new requests as not run unless DrainAdmission admits them; those in flight continue.
  void StartDrain(const DrainTimes& aTimes) { drain_.Start(aTimes, common::Now()); }
  //! Refuses every new request as not run.
  void RefuseNewRequests() { drain_.Stop(); }
  //! Closes each connection after its next answer.
  void CloseConnections() { server_.StartClosing(); }
  std::size_t ConnectionCount() const { return server_.ConnectionCount(); }
  //! From now on requests that need a key are served only while the permissions are fresh.
  void SetFreshness(const freshness::FreshnessSource& aFreshness);
  //! From now on requests of organisations are served within their quotas.
  void SetQuotaGate(quota::QuotaGate& aGate) { quotaGate_ = &aGate; }
  //! Overrides the retry budgets of all services; see RetryBudget.
  void SetRetryBudget(const RetryBudgetSettings& aSettings) { policies_.SetRetryBudget(aSettings); }
  //! The members changed, and with them perhaps the endpoints of services.
  void OnMembersChanged() { policies_.MarkEndpointsChanged(); }
  //! Number of retries that each service's budget allows at present.
  std::map<common::ServiceName, std::uint64_t> RetriesRemaining()
  {
    return policies_.RetriesRemaining(common::Now());
  }
  //! Requests whose answer is not yet sent completely. A keyed request also counts until it has an
  //! outcome, even after its caller has disconnected.
  std::size_t InFlight() const { return exchanges_.size() + keyedRequests_.OpenCount(); }
  const KeyedRequests& GetKeyedRequests() const { return keyedRequests_; }

private:
  class Exchange;

  //! Between checks for callers that do not receive their answers.
  static constexpr common::Duration kSendCheckInterval = std::chrono::milliseconds(250);

  void OnRequest(http::ServerExchange& aExchange);
  http::Limits ClientLimits() const;
  void Dispatch(Exchange& aExchange, CallerRequest aRequest);
  //! Sets what the request's organisation changes in how it is handled.
  void SetOrganisation(const Authorization& aAuthorization,
                       CallRoute& aRoute,
                       CallerRequest& aRequest) const;
  //! Submits the request once its organisation has a token.
  void SubmitWithinQuota(Exchange& aExchange,
                         CallerRequest aRequest,
                         CallRoute aRoute,
                         const organisations::Organisation& aOrganisation);
  void OnQuotaDecision(std::uint64_t aId, const quota::QuotaDecision& aDecision);
  void Submit(Exchange& aExchange, CallerRequest aRequest, CallRoute aRoute);
  void StartKeyedCall(KeyedRequest& aKeyedRequest);
  void WatchCall(Exchange& aExchange, common::RequestId aId);
  //! Registers a call, which then has to be started with ActiveCall::Begin().
  common::RequestId AddCall(CallRoute aRoute,
                            CallerRequest aRequest,
                            const CallPlan& aPlan,
                            AnswerSink& aSink);
  config::Limits LimitsOf(const common::ServiceName& aService) const;
  CallPlan MakePlan(const CallerRequest& aRequest, const CallRoute& aRoute);
  void OnEnvelope(const peer::PeerRef& aFrom, const peer::wire::Envelope& aEnvelope);
  void OnLinkLost(const common::Address& aAddress);
  ActiveCall* FindCall(common::RequestId aId);
  void EraseCall(common::RequestId aId);
  void EndExchange(Exchange& aExchange, bool aIsSent);
  //! Resets the connections of callers that do not receive their answers in time.
  void AbortOverdueAnswers();
  void CountOutcome(const std::string& aOutcome);

  RememberedNotices notices_;
  CallContext context_;
  const dialect::CallerDialect& dialect_;
  ConfigSource config_;
  const freshness::FreshnessSource* freshness_ = nullptr; //!< Null if permissions do not expire.
  quota::QuotaGate* quotaGate_ = nullptr;                 //!< Null if quotas are not enforced.
  //! A request that waits for a token of its organisation.
  struct QuotaWaiter
  {
    Exchange* exchange_ = nullptr;
    CallerRequest request_;
    CallRoute route_;
  };
  std::map<std::uint64_t, QuotaWaiter> quotaWaiters_;
  std::uint64_t lastQuotaWaiter_ = 0;
  CallerServerSettings settings_;
  ServicePolicies policies_;
  TrafficSplit trafficSplit_;
  RequestAgeEstimator requestAgeEstimator_;
  std::mt19937_64 random_;
  KeyedRequests keyedRequests_;
  http::Server server_;
  std::unordered_map<common::RequestId, std::unique_ptr<ActiveCall>> calls_;
  std::map<const Exchange*, std::unique_ptr<Exchange>> exchanges_;
  //! Ended exchanges that callers further up the stack may still use; destroyed by the next turn of
  //! the event loop.
  std::vector<std::unique_ptr<Exchange>> endedExchanges_;
  std::unique_ptr<common::Watch> cleanupTimer_;
  std::unique_ptr<common::Watch> sendCheckTimer_;
  sigc::signal<void, std::size_t> bodySent_;
  std::uint64_t lastRequestId_ = 0;
  std::uint64_t bodyBytes_ = 0;
  DrainAdmission drain_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_CallerServer_h
