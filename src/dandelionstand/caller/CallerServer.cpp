#include "dandelionstand/caller/CallerServer.h"

#include "dandelionstand/caller/CallerExchange.h"
#include "dandelionstand/caller/RequestAuthorizer.h"
#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/dialect/CallerDialect.h"
#include "dandelionstand/freshness/FreshnessSource.h"
#include "dandelionstand/freshness/PermissionCheck.h"
#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/peer/generated/envelope.pb.h"
#include "dandelionstand/quota/QuotaGate.h"

#include <sigc++/functors/mem_fun.h>

#include <algorithm>
#include <utility>

namespace dandelionstand::caller {

namespace {

constexpr std::uint32_t kBadRequest = 400;
constexpr std::uint32_t kUnauthorized = 401;
constexpr std::uint32_t kNotFound = 404;
constexpr std::uint32_t kTooManyRequests = 429;
constexpr std::uint32_t kUnavailable = 503;

//! Legitimate chains of calls are up to 13 deep; a greater depth than this indicates a loop.
constexpr std::uint32_t kMaxDepth = 32;

//! Caps the margin for this daemon's own refusal: the caller's remaining time divided by this.
constexpr int kCallerMarginDivisor = 10;

//! Minimum tries of a request that is not idempotent: endpoints may refuse it without running it.
constexpr std::uint32_t kMinNonIdempotentTries = 3;

//! Maximum time without a frame before a started answer counts as broken off.
constexpr common::Duration kMaxIdle = std::chrono::seconds(5);

Refusal NotRun(std::uint32_t aStatus, const std::string& aReason)
{
  return { aStatus, aReason, RunState::kNotRun, false };
}

//! Extracts the ids of an answer message; false for messages of other kinds.
bool ReadAnswerIds(const peer::wire::Envelope& aEnvelope,
                   common::Incarnation& aCaller,
                   common::RequestId& aId)
{
  const auto read = [&](const auto& aAnswer) {
    aCaller = common::Incarnation(aAnswer.caller_incarnation());
    aId = common::RequestId(aAnswer.request_id());
    return true;
  };
  switch (aEnvelope.body_case()) {
    case peer::wire::Envelope::kAnswerHead:
      return read(aEnvelope.answer_head());
    case peer::wire::Envelope::kAnswerBody:
      return read(aEnvelope.answer_body());
    case peer::wire::Envelope::kAnswerEnd:
      return read(aEnvelope.answer_end());
    case peer::wire::Envelope::kAnswerFailed:
      return read(aEnvelope.answer_failed());
    case peer::wire::Envelope::kCallBodyRequest:
      return read(aEnvelope.call_body_request());
    default:
      return false;
  }
}

PickerSettings PickerSettingsOf(const CallerServerSettings& aSettings)
{
  PickerSettings settings;
  settings.failureDomain_ = aSettings.failureDomain_;
  settings.region_ = aSettings.region_;
  settings.slowStartPeriod_ = aSettings.policy_.slowStartPeriod_;
  return settings;
}

ClaimSettings ClaimSettingsOf(const CallerServerSettings& aSettings)
{
  ClaimSettings settings;
  settings.self_.instance_ = aSettings.instance_;
  settings.self_.incarnation_ = aSettings.incarnation_;
  settings.self_.address_ = aSettings.peerAddress_;
  return settings;
}

} // namespace

CallerServer::CallerServer(common::EventLoop& aLoop,
                           common::Counters& aCounters,
                           peer::Transport& aTransport,
                           platform::Log& aLog,
                           const peer::EndpointDirectory& aDirectory,
                           const dialect::CallerDialect& aDialect,
                           ConfigSource aConfig,
                           const CallerServerSettings& aSettings)
  : context_{ aLoop, aCounters, aTransport, notices_, nullptr }
  , dialect_(aDialect)
  , config_(std::move(aConfig))
  , settings_(aSettings)
  , policies_(aDirectory, PickerSettingsOf(aSettings), aSettings.seed_)
  , trafficSplit_(aSettings.seed_)
  , random_(aSettings.seed_)
  , keyedRequests_(
      aLoop,
      aCounters,
      aTransport,
      aLog,
      ClaimSettingsOf(aSettings),
      [this](KeyedRequest& aKeyedRequest) { StartKeyedCall(aKeyedRequest); },
      [this](common::RequestId aId, std::uint32_t aBytes) {
        ActiveCall* call = FindCall(aId);
        if (call != nullptr) {
          call->OnBodyConsumed(aBytes);
        }
      })
  , server_(aLoop,
            aSettings.listen_,
            { [this](http::ServerExchange& aExchange) { OnRequest(aExchange); },
              [this](std::uint32_t aStatus, const std::string& aFault) {
                context_.counters_.Add("caller_malformed_requests_total");
                common::LogEvent(common::Severity::kWarn,
                                 "request_malformed",
                                 { { "status", aStatus }, { "fault", aFault } });
              },
              [this] { return ClientLimits(); },
              [this] { context_.counters_.Add("caller_requests_abandoned_total"); } })
{
  sendCheckTimer_ = aLoop.Every(kSendCheckInterval, [this] { AbortOverdueAnswers(); });
  aTransport.Received().connect(sigc::mem_fun(*this, &CallerServer::OnEnvelope));
  aTransport.LinkLost().connect(sigc::mem_fun(*this, &CallerServer::OnLinkLost));
}

CallerServer::~CallerServer()
{
  calls_.clear();
  exchanges_.clear();
}

void CallerServer::SetFreshness(const freshness::FreshnessSource& aFreshness)
{
  freshness_ = &aFreshness;
  context_.checkPermission_ = [this](const CallRoute& aRoute) {
    return freshness::CheckPermission(
      { aRoute.version_, aRoute.organisation_.Get(), aRoute.keyDigest_ },
      *freshness_,
      config_().get());
  };
}

http::Limits CallerServer::ClientLimits() const
{
  http::Limits limits;
  limits.headBytes_ = settings_.maxHeaderBytes_;
  limits.bodyBytes_ = settings_.maxBodyBytes_;
  const config::ConfigStatePtr config = config_();
  if (config && config->clientLimits_) {
    limits.headBytes_ = config->clientLimits_->headBytes_;
    limits.bodyBytes_ = config->clientLimits_->bodyBytes_;
    limits.headTime_ = config->clientLimits_->headTime_;
    limits.idleTime_ = config->clientLimits_->idleTime_;
  }
  return limits;
}

void CallerServer::OnRequest(http::ServerExchange& aExchange)
{
  context_.counters_.Add("caller_requests_total");
  auto exchange = std::make_unique<Exchange>(*this, aExchange);
  Exchange& added = *exchange;
  exchanges_[&added] = std::move(exchange);
  CallerRequest request = added.Connection().ReadRequest();
  added.SetOrigin(request);
  Dispatch(added, std::move(request));
}

void CallerServer::Dispatch(Exchange& aExchange, CallerRequest aRequest)
{
  if (!aRequest.isValid_ || aRequest.depth_ > kMaxDepth) {
    aExchange.Refuse(NotRun(kBadRequest, aRequest.isValid_ ? "too-deep" : "bad-header"));
    return;
  }
  const config::ConfigStatePtr config = config_();
  if (!config) {
    aExchange.Refuse(NotRun(kUnavailable, "no-configuration"));
    return;
  }
  const auto* route = config->Match(aRequest.host_, aRequest.method_, aRequest.path_);
  if (route == nullptr) {
    aExchange.Refuse(NotRun(kNotFound, "no-route"));
    return;
  }
  CallRoute callRoute{ route->first, config->version_, route->second.value_ };
  const Authorization authorization =
    AuthorizeRequest(*config, callRoute.route_, aRequest.headers_);
  const bool needsKey = !authorization.fault_.empty() || authorization.organisation_ != nullptr;
  if (needsKey && freshness_ != nullptr && !freshness_->IsFresh()) {
    context_.counters_.Add("permission_unconfirmed_total{place=\"caller\"}");
    aExchange.Refuse(NotRun(kUnavailable, std::string(freshness::kPermissionUnconfirmed)));
    return;
  }
  if (!authorization.fault_.empty()) {
    context_.counters_.Add("caller_unauthorized_total{reason=\"" +
                           std::string(authorization.fault_) + "\"}");
    aExchange.Refuse(NotRun(kUnauthorized, std::string(authorization.fault_)));
    return;
  }
  SetOrganisation(authorization, callRoute, aRequest);
  // A single body of any size that the limits allow has room.
  if (bodyBytes_ > 0 && bodyBytes_ + aRequest.body_.size() > settings_.bodyMemoryBytes_) {
    aExchange.Refuse(NotRun(kUnavailable, "body-memory"));
    return;
  }
  callRoute.route_.endpoints_ = trafficSplit_.Choose(route->first, route->second.value_);
  const organisations::Organisation* organisation = authorization.organisation_;
  if (quotaGate_ != nullptr && organisation != nullptr && organisation->HasQuota()) {
    SubmitWithinQuota(aExchange, std::move(aRequest), std::move(callRoute), *organisation);
  } else {
    Submit(aExchange, std::move(aRequest), std::move(callRoute));
  }
}

void CallerServer::SubmitWithinQuota(Exchange& aExchange,
                                     CallerRequest aRequest,
                                     CallRoute aRoute,
                                     const organisations::Organisation& aOrganisation)
{
  const common::Duration timeLeft =
    std::min(aRoute.route_.timeout_, aRequest.remainingTime_.value_or(aRoute.route_.timeout_));
  const std::uint64_t id = ++lastQuotaWaiter_;
  quotaWaiters_[id] = { &aExchange, std::move(aRequest), std::move(aRoute) };
  aExchange.Connection().Watch([&aExchange] { aExchange.OnDisconnect(); }, nullptr);
  quotaGate_->Admit(aOrganisation, timeLeft, [this, id](const quota::QuotaDecision& aDecision) {
    OnQuotaDecision(id, aDecision);
  });
}

void CallerServer::OnQuotaDecision(std::uint64_t aId, const quota::QuotaDecision& aDecision)
{
  QuotaWaiter waiter = std::move(quotaWaiters_.at(aId));
  quotaWaiters_.erase(aId);
  const bool isAdmitted = aDecision.result_ == quota::QuotaDecision::Result::kAdmitted;
  if (waiter.exchange_ == nullptr) { // The caller has disconnected.
    if (isAdmitted) {
      quotaGate_->ReturnToken(waiter.route_.organisation_, aDecision.tokenExpiresAt_);
    }
    return;
  }
  Exchange& exchange = *waiter.exchange_;
  exchange.Connection().Unwatch();
  if (isAdmitted) {
    exchange.SetQuotaToken(waiter.route_.organisation_, aDecision.tokenExpiresAt_);
    Submit(exchange, std::move(waiter.request_), std::move(waiter.route_));
    return;
  }
  const bool isOverQuota = aDecision.result_ == quota::QuotaDecision::Result::kOverQuota;
  Refusal refusal = isOverQuota ? NotRun(kTooManyRequests, "over-quota")
                                : NotRun(kUnavailable, "quota-unavailable");
  refusal.retryAfter_ = aDecision.retryAfter_;
  exchange.Refuse(refusal);
}

void CallerServer::SetOrganisation(const Authorization& aAuthorization,
                                   CallRoute& aRoute,
                                   CallerRequest& aRequest) const
{
  if (aAuthorization.organisation_ == nullptr) {
    return;
  }
  const organisations::Organisation& organisation = *aAuthorization.organisation_;
  dialect_.AddOrganisation(aRequest, organisation.name_);
  aRoute.organisation_ = organisation.name_;
  aRoute.keyDigest_ = aAuthorization.keyDigest_->Bytes();
  aRoute.route_.priority_ = organisation.priority_.value_or(aRoute.route_.priority_);
}

void CallerServer::Submit(Exchange& aExchange, CallerRequest aRequest, CallRoute aRoute)
{
  const CallPlan plan = MakePlan(aRequest, aRoute);
  if (!drain_.Admits(plan.headDeadline_, common::Now())) {
    aExchange.Refuse(NotRun(kUnavailable, "daemon-draining"));
    return;
  }
  const bool isKeyed =
    aRoute.route_.idempotency_ == config::Idempotency::kKeyed && !aRequest.idempotencyKey_.empty();
  if (!isKeyed) {
    const common::RequestId id = AddCall(std::move(aRoute), std::move(aRequest), plan, aExchange);
    WatchCall(aExchange, id);
    FindCall(id)->Begin();
    return;
  }
  aExchange.Connection().Watch([this, &aExchange] { keyedRequests_.Detach(aExchange); }, nullptr);
  keyedRequests_.Submit(std::move(aRoute), std::move(aRequest), plan, aExchange);
}

void CallerServer::StartKeyedCall(KeyedRequest& aKeyedRequest)
{
  aKeyedRequest.callId_ = AddCall(
    aKeyedRequest.route_, std::move(aKeyedRequest.request_), aKeyedRequest.plan_, aKeyedRequest);
  FindCall(aKeyedRequest.callId_)->Begin();
}

common::RequestId CallerServer::AddCall(CallRoute aRoute,
                                        CallerRequest aRequest,
                                        const CallPlan& aPlan,
                                        AnswerSink& aSink)
{
  const common::RequestId id(++lastRequestId_);
  const common::ServiceName service = aRoute.route_.endpoints_;
  ServicePolicy& policy = policies_.PolicyOf(service, LimitsOf(service), common::Now());
  bodyBytes_ += aRequest.body_.size();
  calls_[id] = std::make_unique<ActiveCall>(context_,
                                            id,
                                            std::move(aRoute),
                                            std::move(aRequest),
                                            aPlan,
                                            policy,
                                            aSink,
                                            [this](common::RequestId aId) { EraseCall(aId); });
  return id;
}

void CallerServer::WatchCall(Exchange& aExchange, common::RequestId aId)
{
  aExchange.SetCallId(aId);
  aExchange.Connection().Watch(
    [this, aId, &aExchange] {
      context_.counters_.Add("caller_disconnects_total");
      aExchange.OnDisconnect();
      ActiveCall* call = FindCall(aId);
      if (call != nullptr) {
        call->OnCallerDisconnected();
      }
    },
    [this, aId](std::uint32_t aBytes) {
      ActiveCall* call = FindCall(aId);
      if (call != nullptr) {
        call->OnBodyConsumed(aBytes);
      }
    });
}

config::Limits CallerServer::LimitsOf(const common::ServiceName& aService) const
{
  const config::ConfigStatePtr config = config_();
  if (!config) {
    return {};
  }
  const auto endpoints = config->endpoints_.find(aService);
  if (endpoints == config->endpoints_.end()) {
    return {};
  }
  const auto limits = config->limits_.find(endpoints->second.value_.limits_);
  return limits == config->limits_.end() ? config::Limits{} : limits->second.value_;
}

CallPlan CallerServer::MakePlan(const CallerRequest& aRequest, const CallRoute& aCallRoute)
{
  const config::Route& route = aCallRoute.route_;
  const bool hasRange = !FindHeader(aRequest.headers_, "Range").empty();
  const CallPolicy& policy = settings_.policy_;
  CallPlan plan;
  plan.policy_ = policy;
  plan.route_ = aCallRoute.name_;
  plan.idempotency_ = route.idempotency_;
  // The caller's times count from when it sent the request, not from when this daemon read it.
  const common::TimePoint arrivedAt = aRequest.arrivedAt_;
  plan.headDeadline_ = aRequest.completedAt_ + route.timeout_;
  if (aRequest.remainingTime_) {
    const common::Duration remaining = *aRequest.remainingTime_;
    const common::Duration margin =
      std::min(policy.callerDeadlineMargin_, remaining / kCallerMarginDivisor);
    plan.headDeadline_ = std::min(plan.headDeadline_, arrivedAt + remaining - margin);
  }
  plan.idleTimeout_ = std::min(route.timeout_, kMaxIdle);
  plan.attempts_ = std::max(1U, route.attempts_);
  plan.maxTotalAttempts_ = plan.attempts_ + policy.extraAttempts_;
  if (policy.hasObjectives_) {
    if (aRequest.remainingTime_) {
      plan.callerAge_ =
        requestAgeEstimator_.EstimateAge(aCallRoute.name_, *aRequest.remainingTime_, arrivedAt);
    }
    plan.objective_ = aRequest.completedAt_ + route.objective_ - plan.callerAge_;
  }
  if (route.idempotency_ != config::Idempotency::kIdempotent) {
    // The route limits attempts that may run the request; tries refused without a run are extra.
    plan.maxTotalAttempts_ = std::max(plan.maxTotalAttempts_, kMinNonIdempotentTries);
  }
  plan.mayContinue_ = aRequest.method_ == "GET" && !hasRange;
  const bool mayOutlastTimeout =
    route.trafficClass_ == config::TrafficClass::kDownload && !policy.enforcesDownloadDeadline_;
  if (!mayOutlastTimeout) {
    plan.endDeadline_ = plan.headDeadline_;
  } else if (aRequest.remainingTime_) {
    plan.endDeadline_ = arrivedAt + *aRequest.remainingTime_;
  }
  return plan;
}

void CallerServer::OnEnvelope(const peer::PeerRef&, const peer::wire::Envelope& aEnvelope)
{
  common::Incarnation caller;
  common::RequestId id;
  if (!ReadAnswerIds(aEnvelope, caller, id)) {
    return;
  }
  ActiveCall* call = caller == settings_.incarnation_ ? FindCall(id) : nullptr;
  if (call == nullptr) {
    context_.counters_.Add("caller_answers_dropped_total");
    return;
  }
  call->OnAnswer(aEnvelope);
}

void CallerServer::OnLinkLost(const common::Address& aAddress)
{
  std::vector<common::RequestId> ids;
  ids.reserve(calls_.size());
  for (const auto& entry : calls_) {
    ids.push_back(entry.first);
  }
  for (const common::RequestId id : ids) {
    ActiveCall* call = FindCall(id);
    if (call != nullptr) {
      call->OnLinkLost(aAddress);
    }
  }
}

ActiveCall* CallerServer::FindCall(common::RequestId aId)
{
  const auto found = calls_.find(aId);
  return found == calls_.end() ? nullptr : found->second.get();
}

void CallerServer::EraseCall(common::RequestId aId)
{
  const auto found = calls_.find(aId);
  if (found == calls_.end()) {
    return;
  }
  bodyBytes_ -= found->second->BodyBytes();
  calls_.erase(found);
}

void CallerServer::EndExchange(Exchange& aExchange, bool aIsSent)
{
  const auto found = exchanges_.find(&aExchange);
  if (found == exchanges_.end()) {
    return;
  }
  for (auto& [id, waiter] : quotaWaiters_) {
    if (waiter.exchange_ == &aExchange) {
      waiter.exchange_ = nullptr;
    }
  }
  aExchange.OnEnded(aIsSent);
  endedExchanges_.push_back(std::move(found->second));
  exchanges_.erase(found);
  cleanupTimer_ = context_.loop_.After(common::Duration(0), [this] { endedExchanges_.clear(); });
}

void CallerServer::AbortOverdueAnswers()
{
  const common::TimePoint now = common::Now();
  std::vector<Exchange*> exchanges;
  exchanges.reserve(exchanges_.size());
  for (const auto& entry : exchanges_) {
    exchanges.push_back(entry.second.get());
  }
  // An abort ends all exchanges of its connection; their objects live until the next iteration.
  for (Exchange* exchange : exchanges) {
    exchange->AbortIfOverdue(now);
  }
}

void CallerServer::CountOutcome(const std::string& aOutcome)
{
  context_.counters_.Add("caller_outcomes_total{outcome=\"" + aOutcome + "\"}");
}

} // namespace dandelionstand::caller
