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

constexpr std::uint64_t kShards = 4;
constexpr common::Duration kTickInterval = std::chrono::milliseconds(20);

constexpr std::uint32_t kConflict = 409;
constexpr std::uint32_t kUnavailable = 503;

std::uint64_t ShardOf(const KeyHash& aKey)
{
  return aKey.low_ % kShards;
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
                             Taken aTaken)
  : loop_(aLoop)
  , counters_(aCounters)
  , transport_(aTransport)
  , log_(aLog)
  , settings_(std::move(aSettings))
  , startCall_(std::move(aStartCall))
  , taken_(std::move(aTaken))
{
  transport_.Received().connect(sigc::mem_fun(*this, &KeyedRequests::OnEnvelope));
  transport_.LinkLost().connect(sigc::mem_fun(*this, &KeyedRequests::OnLinkLost));
  tick_ = loop_.Every(kTickInterval, [this] { Tick(); });
}

KeyedRequests::~KeyedRequests() = default;

void KeyedRequests::Submit(CallRoute aRoute,
                           CallerRequest aRequest,
                           const CallPlan& aPlan,
                           AnswerSink& aSink)
{
  const KeyHash key = HashKey(aRoute.route_.endpoints_, aRequest.idempotencyKey_);
  const auto known = orders_.find(key);
  if (known != orders_.end()) {
    counters_.Add("orders_repeated_total");
    KeyedRequest& order = *known->second;
    if (order.state_ == KeyedRequest::State::kOver) {
      order.outcome_.DeliverTo(aSink);
    } else {
      order.waiters_.push_back(&aSink);
    }
    return;
  }
  const std::uint64_t shard = ShardOf(key);
  const ClaimNumber number(++lastNumbers_[shard]);
  auto order = std::make_unique<KeyedRequest>(
    key,
    number,
    [this, key](std::uint32_t aBytes) {
      // The call is still handing out the body; it hears of it on the next turn.
      loop_.Post([this, key, aBytes] {
        const auto found = orders_.find(key);
        if (found != orders_.end()) {
          taken_(found->second->call_, aBytes);
        }
      });
    },
    [this](KeyedRequest& aOver) { OnOver(aOver); });
  order->route_ = std::move(aRoute);
  order->request_ = std::move(aRequest);
  order->plan_ = aPlan;
  order->waiters_.push_back(&aSink);
  orders_[key] = std::move(order);
  byNumber_[{ shard, number }] = key;
  ++open_;
  counters_.Add("orders_claimed_total");
  StreamOf(shard).Claim(number, key);
}

void KeyedRequests::Forget(const AnswerSink& aSink)
{
  for (const auto& entry : orders_) {
    entry.second->RemoveWaiter(aSink);
  }
}

void KeyedRequests::OnDecided(std::uint64_t aShard, const ClaimAction& aAction)
{
  if (const auto* won = std::get_if<ClaimWon>(&aAction)) {
    KeyedRequest* order = TakeNumber({ aShard, won->number_ });
    if (order != nullptr) {
      OnWon(*order);
    }
  } else if (const auto* lost = std::get_if<ClaimLost>(&aAction)) {
    KeyedRequest* order = TakeNumber({ aShard, lost->number_ });
    if (order != nullptr) {
      OnLost(*order, lost->holder_);
    }
  } else if (const auto* refused = std::get_if<ClaimRefused>(&aAction)) {
    KeyedRequest* order = TakeNumber({ aShard, refused->number_ });
    if (order != nullptr) {
      common::LogEvent(common::Severity::kWarn,
                       "order_refused",
                       { { "reason", refused->reason_ }, { "shard", aShard } });
      EndAsking(*order, RefusedOutcome(kUnavailable, refused->reason_, RunState::kNotRun));
    }
  }
}

void KeyedRequests::OnWon(KeyedRequest& aOrder)
{
  counters_.Add("orders_won_total");
  aOrder.state_ = KeyedRequest::State::kRunning;
  startCall_(aOrder);
}

void KeyedRequests::OnLost(KeyedRequest& aOrder, const ClaimHolder& aHolder)
{
  counters_.Add("orders_lost_total");
  const bool isOwn = aHolder.incarnation_ == settings_.self_.incarnation_ &&
                     aHolder.instance_ == settings_.self_.instance_;
  if (isOwn) {
    // The earlier request was not run, and its release is on the way to the log.
    EndAsking(aOrder, RefusedOutcome(kUnavailable, "claim-in-release", RunState::kNotRun));
    return;
  }
  aOrder.holder_ = aHolder;
  Ask(aOrder);
}

void KeyedRequests::Ask(KeyedRequest& aOrder)
{
  aOrder.state_ = KeyedRequest::State::kAsking;
  aOrder.question_ = ++lastQuestion_;
  const KeyHash key = aOrder.key_;
  aOrder.timer_ = loop_.After(aOrder.plan_.headDeadline_ - common::Now(), [this, key] {
    const auto found = orders_.find(key);
    if (found != orders_.end()) {
      EndAsking(*found->second, UnknownOutcome());
    }
  });
  peer::wire::Envelope envelope;
  peer::wire::ClaimQuestion& question = *envelope.mutable_claim_question();
  question.set_question_id(aOrder.question_);
  question.set_key_hash(ToBytes(key));
  question.set_holder_incarnation(aOrder.holder_.incarnation_.Get());
  if (!transport_.Send({ aOrder.holder_.address_, "" }, envelope)) {
    EndAsking(aOrder, UnknownOutcome());
  }
}

void KeyedRequests::EndAsking(KeyedRequest& aOrder, const RequestOutcome& aOutcome)
{
  // Not our claim: nothing is remembered, a repeat asks again.
  const auto found = orders_.find(aOrder.key_);
  std::unique_ptr<KeyedRequest> order = std::move(found->second);
  orders_.erase(found);
  --open_;
  order->timer_.reset();
  order->outcome_ = aOutcome;
  order->Deliver();
  ended_.push_back(std::move(order));
  reaper_ = loop_.After(common::Duration(0), [this] { ended_.clear(); });
}

void KeyedRequests::OnOver(KeyedRequest& aOrder)
{
  const bool isNotRun =
    !aOrder.outcome_.isAnswered_ && aOrder.outcome_.refusal_.runState_ == RunState::kNotRun;
  for (const OutcomeRequester& asker : std::exchange(aOrder.askers_, {})) {
    SendOutcome(asker, aOrder.outcome_);
  }
  if (isNotRun) {
    counters_.Add("orders_released_total");
    const ClaimNumber number = aOrder.number_;
    const std::uint64_t shard = ShardOf(aOrder.key_);
    const RequestOutcome outcome = aOrder.outcome_;
    EndAsking(aOrder, outcome);
    StreamOf(shard).Release(number);
    return;
  }
  --open_;
  aOrder.state_ = KeyedRequest::State::kOver;
  aOrder.overAt_ = common::Now();
  aOrder.request_ = {};
  aOrder.Deliver();
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

void KeyedRequests::OnQuestion(const OutcomeRequester& aAsker,
                               const peer::wire::ClaimQuestion& aQuestion)
{
  KeyHash key;
  const bool isOurs = aQuestion.holder_incarnation() == settings_.self_.incarnation_.Get() &&
                      FromBytes(aQuestion.key_hash(), key);
  const auto found = isOurs ? orders_.find(key) : orders_.end();
  if (found == orders_.end() || found->second->state_ == KeyedRequest::State::kAsking) {
    SendOutcome(aAsker, UnknownOutcome());
  } else if (found->second->state_ == KeyedRequest::State::kOver) {
    SendOutcome(aAsker, found->second->outcome_);
  } else {
    found->second->askers_.push_back(aAsker);
  }
}

void KeyedRequests::OnAnswer(const peer::wire::ClaimAnswer& aAnswer)
{
  if (aAnswer.asker_incarnation() != settings_.self_.incarnation_.Get()) {
    return;
  }
  for (const auto& [key, order] : orders_) {
    const bool isIt =
      order->state_ == KeyedRequest::State::kAsking && order->question_ == aAnswer.question_id();
    if (!isIt) {
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
    EndAsking(*order, outcome);
    return;
  }
}

void KeyedRequests::OnLinkLost(const common::Address& aAddress)
{
  std::vector<KeyedRequest*> lost;
  for (const auto& [key, order] : orders_) {
    if (order->state_ == KeyedRequest::State::kAsking && order->holder_.address_ == aAddress) {
      lost.push_back(order.get());
    }
  }
  for (KeyedRequest* order : lost) {
    EndAsking(*order, UnknownOutcome());
  }
}

void KeyedRequests::SendOutcome(const OutcomeRequester& aAsker, const RequestOutcome& aOutcome)
{
  peer::wire::Envelope envelope;
  peer::wire::ClaimAnswer& answer = *envelope.mutable_claim_answer();
  answer.set_question_id(aAsker.question_);
  answer.set_asker_incarnation(aAsker.incarnation_.Get());
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
  transport_.Send(aAsker.peer_, envelope);
}

ClaimStream& KeyedRequests::StreamOf(std::uint64_t aShard)
{
  std::unique_ptr<ClaimStream>& stream = streams_[aShard];
  if (!stream) {
    stream = std::make_unique<ClaimStream>(
      log_,
      platform::StreamName("claims-" + std::to_string(aShard)),
      settings_,
      [this, aShard](const ClaimAction& aAction) { OnDecided(aShard, aAction); });
  }
  return *stream;
}

KeyedRequest* KeyedRequests::TakeNumber(const ShardNumber& aNumber)
{
  const auto found = byNumber_.find(aNumber);
  if (found == byNumber_.end()) {
    return nullptr;
  }
  const auto order = orders_.find(found->second);
  byNumber_.erase(found);
  return order == orders_.end() ? nullptr : order->second.get();
}

void KeyedRequests::Tick()
{
  for (const auto& entry : streams_) {
    entry.second->Tick();
  }
  const common::TimePoint now = common::Now();
  std::erase_if(orders_, [&](const auto& aEntry) {
    const KeyedRequest& order = *aEntry.second;
    // Twice the window, like the claims of other daemons.
    return order.state_ == KeyedRequest::State::kOver &&
           now - order.overAt_ > 2 * settings_.window_;
  });
}

} // namespace dandelionstand::caller
