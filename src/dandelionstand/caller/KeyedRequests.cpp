#include "dandelionstand/caller/KeyedRequests.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/peer/generated/envelope.pb.h"

#include <sigc++/functors/mem_fun.h>

#include <cstring>
#include <string>
#include <utility>

namespace dandelionstand::caller {

namespace {

constexpr std::uint64_t kShardCount = 4;
constexpr common::Duration kTickInterval = std::chrono::milliseconds(20);

constexpr std::uint32_t kConflict = 409;
constexpr std::uint32_t kUnavailable = 503;

std::uint64_t ShardOf(const KeyHash& aKey)
{
  return aKey.low_ % kShardCount;
}

RequestOutcome RefusedOutcome(std::uint32_t aStatus, const std::string& aReason, RunState aState)
{
  RequestOutcome outcome;
  outcome.refusal_ = { aStatus, aReason, aState };
  return outcome;
}

RequestOutcome UnknownOutcome()
{
  return RefusedOutcome(kConflict, "claimed-outcome-unknown", RunState::kUnknown);
}

std::string ToBytes(const KeyHash& aKey)
{
  std::string bytes(sizeof(KeyHash), '\0');
  std::memcpy(bytes.data(), &aKey, sizeof(KeyHash));
  return bytes;
}

bool FromBytes(const std::string& aBytes, KeyHash& aKey)
{
  if (aBytes.size() != sizeof(KeyHash)) {
    return false;
  }
  std::memcpy(&aKey, aBytes.data(), sizeof(KeyHash));
  return true;
}

} // namespace

KeyedRequests::KeyedRequests(common::EventLoop& aLoop,
                             common::Counters& aCounters,
                             peer::Transport& aTransport,
                             platform::Log& aLog,
                             ClaimSettings aSettings,
                             StartCall aStartCall,
                             ConsumedHandler aOnConsumed)
  : loop_(aLoop)
  , counters_(aCounters)
  , transport_(aTransport)
  , log_(aLog)
  , settings_(std::move(aSettings))
  , startCall_(std::move(aStartCall))
  , onConsumed_(std::move(aOnConsumed))
{
  transport_.Received().connect(sigc::mem_fun(*this, &KeyedRequests::OnEnvelope));
  transport_.LinkLost().connect(sigc::mem_fun(*this, &KeyedRequests::OnLinkLost));
  tickTimer_ = loop_.Every(kTickInterval, [this] { Tick(); });
}

KeyedRequests::~KeyedRequests() = default;

void KeyedRequests::Submit(CallRoute aRoute,
                           CallerRequest aRequest,
                           const CallPlan& aPlan,
                           AnswerSink& aSink)
{
  const KeyHash key = HashKey(aRoute.route_.endpoints_, aRequest.idempotencyKey_);
  const auto existing = requests_.find(key);
  if (existing != requests_.end()) {
    counters_.Add("orders_repeated_total");
    KeyedRequest& keyedRequest = *existing->second;
    if (keyedRequest.state_ == KeyedRequest::State::kCompleted) {
      keyedRequest.outcome_.DeliverTo(aSink);
    } else {
      keyedRequest.sinks_.push_back(&aSink);
    }
    return;
  }
  const std::uint64_t shard = ShardOf(key);
  const ClaimNumber number(++lastClaimNumbers_[shard]);
  auto keyedRequest = std::make_unique<KeyedRequest>(
    key,
    number,
    [this, key](std::uint32_t aBytes) {
      // The call is still delivering the body, so notify it in the next turn of the event loop.
      loop_.Post([this, key, aBytes] {
        const auto found = requests_.find(key);
        if (found != requests_.end()) {
          onConsumed_(found->second->callId_, aBytes);
        }
      });
    },
    [this](KeyedRequest& aCompleted) { OnCompleted(aCompleted); });
  keyedRequest->route_ = std::move(aRoute);
  keyedRequest->request_ = std::move(aRequest);
  keyedRequest->plan_ = aPlan;
  keyedRequest->sinks_.push_back(&aSink);
  requests_[key] = std::move(keyedRequest);
  keysByClaim_[{ shard, number }] = key;
  ++openCount_;
  counters_.Add("orders_claimed_total");
  StreamOf(shard).Claim(number, key);
}

void KeyedRequests::Detach(const AnswerSink& aSink)
{
  for (const auto& entry : requests_) {
    entry.second->RemoveSink(aSink);
  }
}

void KeyedRequests::OnClaimDecision(std::uint64_t aShard, const ClaimAction& aAction)
{
  if (const auto* won = std::get_if<ClaimWon>(&aAction)) {
    KeyedRequest* keyedRequest = ExtractByClaim({ aShard, won->number_ });
    if (keyedRequest != nullptr) {
      OnClaimWon(*keyedRequest);
    }
  } else if (const auto* lost = std::get_if<ClaimLost>(&aAction)) {
    KeyedRequest* keyedRequest = ExtractByClaim({ aShard, lost->number_ });
    if (keyedRequest != nullptr) {
      OnClaimLost(*keyedRequest, lost->holder_);
    }
  } else if (const auto* refused = std::get_if<ClaimRefused>(&aAction)) {
    KeyedRequest* keyedRequest = ExtractByClaim({ aShard, refused->number_ });
    if (keyedRequest != nullptr) {
      common::LogEvent(common::Severity::kWarn,
                       "order_refused",
                       { { "reason", refused->reason_ }, { "shard", aShard } });
      DeliverAndRemove(*keyedRequest,
                       RefusedOutcome(kUnavailable, refused->reason_, RunState::kNotRun));
    }
  }
}

void KeyedRequests::OnClaimWon(KeyedRequest& aKeyedRequest)
{
  counters_.Add("orders_won_total");
  aKeyedRequest.state_ = KeyedRequest::State::kRunning;
  startCall_(aKeyedRequest);
}

void KeyedRequests::OnClaimLost(KeyedRequest& aKeyedRequest, const ClaimHolder& aHolder)
{
  counters_.Add("orders_lost_total");
  const bool isLocalHolder = aHolder.incarnation_ == settings_.self_.incarnation_ &&
                             aHolder.instance_ == settings_.self_.instance_;
  if (isLocalHolder) {
    // This daemon's earlier request was not run; its release has not reached the log yet.
    DeliverAndRemove(aKeyedRequest,
                     RefusedOutcome(kUnavailable, "claim-in-release", RunState::kNotRun));
    return;
  }
  aKeyedRequest.holder_ = aHolder;
  QueryHolder(aKeyedRequest);
}

void KeyedRequests::QueryHolder(KeyedRequest& aKeyedRequest)
{
  aKeyedRequest.state_ = KeyedRequest::State::kQueryingHolder;
  aKeyedRequest.questionId_ = ++lastQuestionId_;
  const KeyHash key = aKeyedRequest.key_;
  aKeyedRequest.queryTimer_ =
    loop_.After(aKeyedRequest.plan_.headDeadline_ - common::Now(), [this, key] {
      const auto found = requests_.find(key);
      if (found != requests_.end()) {
        DeliverAndRemove(*found->second, UnknownOutcome());
      }
    });
  peer::wire::Envelope envelope;
  peer::wire::ClaimQuestion& question = *envelope.mutable_claim_question();
  question.set_question_id(aKeyedRequest.questionId_);
  question.set_key_hash(ToBytes(key));
  question.set_holder_incarnation(aKeyedRequest.holder_.incarnation_.Get());
  if (!transport_.Send({ aKeyedRequest.holder_.address_, "" }, envelope)) {
    DeliverAndRemove(aKeyedRequest, UnknownOutcome());
  }
}

void KeyedRequests::DeliverAndRemove(KeyedRequest& aKeyedRequest, const RequestOutcome& aOutcome)
{
  // The claim is undecided, held by another daemon or about to be released. No outcome is retained,
  // so that a repeat starts a new claim.
  const auto found = requests_.find(aKeyedRequest.key_);
  std::unique_ptr<KeyedRequest> keyedRequest = std::move(found->second);
  requests_.erase(found);
  --openCount_;
  keyedRequest->queryTimer_.reset();
  keyedRequest->outcome_ = aOutcome;
  keyedRequest->Deliver();
  removedRequests_.push_back(std::move(keyedRequest));
  cleanupTimer_ = loop_.After(common::Duration(0), [this] { removedRequests_.clear(); });
}

void KeyedRequests::OnCompleted(KeyedRequest& aKeyedRequest)
{
  const bool isNotRun = !aKeyedRequest.outcome_.isAnswered_ &&
                        aKeyedRequest.outcome_.refusal_.runState_ == RunState::kNotRun;
  for (const OutcomeRequester& requester : std::exchange(aKeyedRequest.requesters_, {})) {
    SendOutcome(requester, aKeyedRequest.outcome_);
  }
  if (isNotRun) {
    counters_.Add("orders_released_total");
    const ClaimNumber number = aKeyedRequest.number_;
    const std::uint64_t shard = ShardOf(aKeyedRequest.key_);
    const RequestOutcome outcome = aKeyedRequest.outcome_;
    DeliverAndRemove(aKeyedRequest, outcome);
    StreamOf(shard).Release(number);
    return;
  }
  --openCount_;
  aKeyedRequest.state_ = KeyedRequest::State::kCompleted;
  aKeyedRequest.completedAt_ = common::Now();
  aKeyedRequest.request_ = {};
  aKeyedRequest.Deliver();
}

void KeyedRequests::OnEnvelope(const peer::PeerRef& aFrom, const peer::wire::Envelope& aEnvelope)
{
  if (aEnvelope.has_claim_question()) {
    const peer::wire::ClaimQuestion& question = aEnvelope.claim_question();
    OnQuestion(
      { aFrom, common::Incarnation(aEnvelope.sender_incarnation()), question.question_id() },
      question);
  } else if (aEnvelope.has_claim_answer()) {
    OnAnswer(aEnvelope.claim_answer());
  }
}

void KeyedRequests::OnQuestion(const OutcomeRequester& aRequester,
                               const peer::wire::ClaimQuestion& aQuestion)
{
  KeyHash key;
  const bool isLocalClaim = aQuestion.holder_incarnation() == settings_.self_.incarnation_.Get() &&
                            FromBytes(aQuestion.key_hash(), key);
  const auto found = isLocalClaim ? requests_.find(key) : requests_.end();
  if (found == requests_.end() || found->second->state_ == KeyedRequest::State::kQueryingHolder) {
    SendOutcome(aRequester, UnknownOutcome());
  } else if (found->second->state_ == KeyedRequest::State::kCompleted) {
    SendOutcome(aRequester, found->second->outcome_);
  } else {
    found->second->requesters_.push_back(aRequester);
  }
}

void KeyedRequests::OnAnswer(const peer::wire::ClaimAnswer& aAnswer)
{
  if (aAnswer.asker_incarnation() != settings_.self_.incarnation_.Get()) {
    return;
  }
  for (const auto& [key, keyedRequest] : requests_) {
    const bool isMatch = keyedRequest->state_ == KeyedRequest::State::kQueryingHolder &&
                         keyedRequest->questionId_ == aAnswer.question_id();
    if (!isMatch) {
      continue;
    }
    RequestOutcome outcome = UnknownOutcome();
    if (aAnswer.state() == peer::wire::OUTCOME_ANSWERED) {
      outcome.isAnswered_ = true;
      outcome.status_ = aAnswer.status();
      outcome.body_ = aAnswer.body();
      for (const peer::wire::Header& header : aAnswer.headers()) {
        outcome.headers_.push_back({ header.name(), header.value() });
      }
    } else if (aAnswer.state() == peer::wire::OUTCOME_NOT_RUN) {
      outcome = RefusedOutcome(kUnavailable, aAnswer.reason(), RunState::kNotRun);
    }
    DeliverAndRemove(*keyedRequest, outcome);
    return;
  }
}

void KeyedRequests::OnLinkLost(const common::Address& aAddress)
{
  std::vector<KeyedRequest*> lost;
  for (const auto& [key, keyedRequest] : requests_) {
    if (keyedRequest->state_ == KeyedRequest::State::kQueryingHolder &&
        keyedRequest->holder_.address_ == aAddress) {
      lost.push_back(keyedRequest.get());
    }
  }
  for (KeyedRequest* keyedRequest : lost) {
    DeliverAndRemove(*keyedRequest, UnknownOutcome());
  }
}

void KeyedRequests::SendOutcome(const OutcomeRequester& aRequester, const RequestOutcome& aOutcome)
{
  peer::wire::Envelope envelope;
  peer::wire::ClaimAnswer& answer = *envelope.mutable_claim_answer();
  answer.set_question_id(aRequester.questionId_);
  answer.set_asker_incarnation(aRequester.incarnation_.Get());
  if (aOutcome.isAnswered_) {
    answer.set_state(peer::wire::OUTCOME_ANSWERED);
    answer.set_status(aOutcome.status_);
    answer.set_body(aOutcome.body_);
    for (const Header& header : aOutcome.headers_) {
      peer::wire::Header& added = *answer.add_headers();
      added.set_name(header.name_);
      added.set_value(header.value_);
    }
  } else {
    const bool isNotRun = aOutcome.refusal_.runState_ == RunState::kNotRun;
    answer.set_state(isNotRun ? peer::wire::OUTCOME_NOT_RUN : peer::wire::OUTCOME_UNKNOWN);
    answer.set_reason(aOutcome.refusal_.reason_);
  }
  transport_.Send(aRequester.peer_, envelope);
}

ClaimStream& KeyedRequests::StreamOf(std::uint64_t aShard)
{
  std::unique_ptr<ClaimStream>& stream = streams_[aShard];
  if (!stream) {
    stream = std::make_unique<ClaimStream>(
      log_,
      platform::StreamName("claims-" + std::to_string(aShard)),
      settings_,
      [this, aShard](const ClaimAction& aAction) { OnClaimDecision(aShard, aAction); });
  }
  return *stream;
}

KeyedRequest* KeyedRequests::ExtractByClaim(const ShardClaim& aClaim)
{
  const auto found = keysByClaim_.find(aClaim);
  if (found == keysByClaim_.end()) {
    return nullptr;
  }
  const auto keyedRequest = requests_.find(found->second);
  keysByClaim_.erase(found);
  return keyedRequest == requests_.end() ? nullptr : keyedRequest->second.get();
}

void KeyedRequests::Tick()
{
  for (const auto& entry : streams_) {
    entry.second->Tick();
  }
  const common::TimePoint now = common::Now();
  std::erase_if(requests_, [&](const auto& aEntry) {
    const KeyedRequest& keyedRequest = *aEntry.second;
    // Twice the window: other daemons retain the claim for as long and may query its outcome.
    return keyedRequest.state_ == KeyedRequest::State::kCompleted &&
           now - keyedRequest.completedAt_ > 2 * settings_.window_;
  });
}

} // namespace dandelionstand::caller
