#include "dandelionstand/target/AnswerSender.h"

#include "dandelionstand/common/EventLoop.h"

#include <sigc++/functors/mem_fun.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace dandelionstand::target {

namespace {

//! Share of the link's bandwidth that is used, since headers below the transport are not counted.
constexpr double kUsableBandwidth = 0.92;
//! Answers up to this size do not wait.
constexpr std::size_t kMaxImmediateBytes = 16UL * 1024;
constexpr common::Duration kMinSendInterval = std::chrono::milliseconds(1);
//! Weight of the newest answer in the moving average of a route's answer sizes.
constexpr double kAnswerSizeWeight = 0.1;
//! A full link has room again after the transfer of a few messages, one that is cut off much later.
constexpr common::Duration kMinRetryDelay = std::chrono::milliseconds(10);
constexpr common::Duration kMaxRetryDelay = std::chrono::seconds(2);
//! Links that accept nothing for so long are replaced, and the caller's daemon ends its calls then.
constexpr common::Duration kMaxRetryTime = std::chrono::seconds(10);
//! Bound the memory for peers that are gone, and for targets that send faster than links.
constexpr std::size_t kMaxUnsentAnswers = 4096;
constexpr std::size_t kMaxUnsentBytes = 8UL * 1024 * 1024;
//! Memory of a part beside its body data; a target may send bodies in pieces of a few bytes.
constexpr std::size_t kPartOverheadBytes = 512;

std::size_t MemoryOf(const EgressQueue::Part& aPart)
{
  return aPart.bytes_ + kPartOverheadBytes;
}

std::optional<std::uint64_t> UsableBandwidth(std::optional<std::uint64_t> aBytesPerSecond)
{
  if (!aBytesPerSecond) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(static_cast<double>(*aBytesPerSecond) * kUsableBandwidth);
}

template<typename Message>
void SetKey(Message& aMessage, const AttemptKey& aKey)
{
  aMessage.set_request_id(aKey.requestId_.Get());
  aMessage.set_attempt(aKey.attempt_);
  aMessage.set_caller_incarnation(aKey.callerIncarnation_.Get());
}

} // namespace

AnswerSender::AnswerSender(common::EventLoop& aLoop,
                           peer::Transport& aTransport,
                           EgressSettings aSettings,
                           LoadSource aLoadSource)
  : loop_(aLoop)
  , transport_(aTransport)
  , settings_(std::move(aSettings))
  , loadSource_(std::move(aLoadSource))
  , queue_(UsableBandwidth(settings_.bytesPerSecond_))
{
  transport_.Sent().connect(sigc::mem_fun(*this, &AnswerSender::RecordEgress));
}

AnswerSender::~AnswerSender() = default;

void AnswerSender::RecordEgress(std::size_t aBytes)
{
  if (!isSendingLocally_) {
    queue_.RecordSent(aBytes, common::Now());
  }
}

std::size_t AnswerSender::WaitingBytes(const std::string& aRoute,
                                       const common::InstanceId& aCallerInstance) const
{
  const auto size = answerBytes_.find(aRoute);
  const bool waits = queue_.IsLimited() && size != answerBytes_.end() &&
                     size->second > kMaxImmediateBytes && aCallerInstance != settings_.instance_;
  return waits ? static_cast<std::size_t>(size->second) : 0;
}

common::Duration AnswerSender::TransferTime(const std::string& aRoute,
                                            const common::InstanceId& aCallerInstance) const
{
  const std::size_t bytes = WaitingBytes(aRoute, aCallerInstance);
  return bytes > 0 ? queue_.TimeToSend(bytes, common::Now()) : common::Duration(0);
}

void AnswerSender::Reserve(const std::string& aRoute, const AttemptKey& aKey)
{
  queue_.Reserve(aKey, WaitingBytes(aRoute, aKey.callerInstance_));
}

bool AnswerSender::SendPart(EgressQueue::Part aPart, bool aMayWait)
{
  const bool isLocal = aPart.key_.callerInstance_ == settings_.instance_;
  const bool waits = queue_.IsLimited() && !isLocal && (aMayWait || queue_.Contains(aPart.key_));
  if (!waits) {
    return Transmit(std::move(aPart));
  }
  queue_.Push(std::move(aPart));
  SendDue();
  return true;
}

bool AnswerSender::TryTransmit(EgressQueue::Part& aPart)
{
  isSendingLocally_ = aPart.key_.callerInstance_ == settings_.instance_;
  const bool isSent = transport_.Send(aPart.recipient_, aPart.envelope_);
  isSendingLocally_ = false;
  return isSent;
}

bool AnswerSender::Transmit(EgressQueue::Part aPart)
{
  auto unsent =
    std::find_if(unsentAnswers_.begin(), unsentAnswers_.end(), [&](const UnsentAnswer& aAnswer) {
      return aAnswer.key_ == aPart.key_;
    });
  if (unsent == unsentAnswers_.end() && TryTransmit(aPart)) {
    return true;
  }
  // The end of an answer is small, and the caller's daemon waits for it.
  const bool fits = aPart.isLast_ || unsentBytes_ + MemoryOf(aPart) <= kMaxUnsentBytes;
  const bool hasRoom =
    fits && (unsent != unsentAnswers_.end() || unsentAnswers_.size() < kMaxUnsentAnswers);
  if (!hasRoom) {
    return false;
  }
  if (unsent == unsentAnswers_.end()) {
    const common::TimePoint now = common::Now();
    unsentAnswers_.push_back(
      { aPart.key_, {}, kMinRetryDelay, now + kMinRetryDelay, now + kMaxRetryTime });
    unsent = std::prev(unsentAnswers_.end());
  }
  unsentBytes_ += MemoryOf(aPart);
  unsent->parts_.push_back(std::move(aPart));
  ScheduleRetry();
  return true;
}

void AnswerSender::LoseAnswer(const EgressQueue::Part& aPart)
{
  lostAnswers_.push_back(aPart.key_);
  SendFailed(aPart.recipient_, aPart.key_, aPart.route_, kLinkFull, peer::wire::RUN);
  lostTimer_ = loop_.After(common::Duration(0), [this] {
    for (const AttemptKey& key : std::exchange(lostAnswers_, {})) {
      answerLost_.emit(key);
    }
  });
}

bool AnswerSender::RetryUnsent(UnsentAnswer& aAnswer, common::TimePoint aNow)
{
  if (aNow < aAnswer.retryAt_) {
    return true;
  }
  aAnswer.retryDelay_ = std::min(2 * aAnswer.retryDelay_, kMaxRetryDelay);
  while (!aAnswer.parts_.empty() && TryTransmit(aAnswer.parts_.front())) {
    unsentBytes_ -= MemoryOf(aAnswer.parts_.front());
    aAnswer.parts_.pop_front();
    aAnswer.retryDelay_ = kMinRetryDelay;
    aAnswer.expiresAt_ = aNow + kMaxRetryTime;
  }
  aAnswer.retryAt_ = aNow + aAnswer.retryDelay_;
  return !aAnswer.parts_.empty() && aNow < aAnswer.expiresAt_;
}

void AnswerSender::RetryUnsentAnswers()
{
  const common::TimePoint now = common::Now();
  std::vector<EgressQueue::Part> lost;
  std::erase_if(unsentAnswers_, [&](UnsentAnswer& aAnswer) {
    if (RetryUnsent(aAnswer, now)) {
      return false;
    }
    for (const EgressQueue::Part& part : aAnswer.parts_) {
      unsentBytes_ -= MemoryOf(part);
    }
    if (!aAnswer.parts_.empty() && !aAnswer.parts_.front().isLast_) {
      lost.push_back(std::move(aAnswer.parts_.front()));
    }
    return true;
  });
  for (const EgressQueue::Part& part : lost) {
    LoseAnswer(part);
  }
  ScheduleRetry();
}

void AnswerSender::ScheduleRetry()
{
  const auto next = std::min_element(unsentAnswers_.begin(),
                                     unsentAnswers_.end(),
                                     [](const UnsentAnswer& aLhs, const UnsentAnswer& aRhs) {
                                       return aLhs.retryAt_ < aRhs.retryAt_;
                                     });
  if (next == unsentAnswers_.end()) {
    retryTimer_.reset();
    return;
  }
  const common::Duration wait = std::max(common::Duration(0), next->retryAt_ - common::Now());
  retryTimer_ = loop_.After(wait, [this] { RetryUnsentAnswers(); });
}

void AnswerSender::Drop(const AttemptKey& aKey)
{
  queue_.Drop(aKey);
  std::erase_if(unsentAnswers_, [&](const UnsentAnswer& aAnswer) {
    if (aAnswer.key_ != aKey) {
      return false;
    }
    for (const EgressQueue::Part& part : aAnswer.parts_) {
      unsentBytes_ -= MemoryOf(part);
    }
    return true;
  });
}

void AnswerSender::SendDue()
{
  while (auto part = queue_.TakeDue(common::Now())) {
    if (part->isLast_) {
      *part->envelope_.mutable_answer_end()->mutable_load() = loadSource_(part->route_);
    }
    const EgressQueue::Part identity{ part->recipient_, part->key_,  {}, 0,
                                      part->isLast_,    part->route_ };
    if (!Transmit(std::move(*part)) && !identity.isLast_) {
      LoseAnswer(identity);
    }
  }
  ScheduleSending();
}

void AnswerSender::ScheduleSending()
{
  if (queue_.IsEmpty()) {
    sendTimer_.reset();
    return;
  }
  const common::Duration wait = std::max(kMinSendInterval, queue_.NextDue() - common::Now());
  sendTimer_ = loop_.After(wait, [this] { SendDue(); });
}

bool AnswerSender::SendHead(const peer::PeerRef& aRecipient,
                            const AttemptKey& aKey,
                            peer::wire::AnswerHead aHead)
{
  peer::wire::Envelope envelope;
  SetKey(aHead, aKey);
  *envelope.mutable_answer_head() = std::move(aHead);
  return Transmit({ aRecipient, aKey, std::move(envelope), 0, false, "" });
}

bool AnswerSender::SendBody(const peer::PeerRef& aRecipient,
                            const AttemptKey& aKey,
                            peer::wire::AnswerBody aBody)
{
  peer::wire::Envelope envelope;
  SetKey(aBody, aKey);
  const std::size_t bytes = aBody.data().size();
  const bool mayWait = aBody.sequence() > 0 || bytes > kMaxImmediateBytes;
  *envelope.mutable_answer_body() = std::move(aBody);
  return SendPart({ aRecipient, aKey, std::move(envelope), bytes, false, "" }, mayWait);
}

void AnswerSender::SendEnd(const peer::PeerRef& aRecipient,
                           const AttemptKey& aKey,
                           const std::string& aRoute,
                           peer::wire::AnswerEnd aEnd)
{
  peer::wire::Envelope envelope;
  SetKey(aEnd, aKey);
  *aEnd.mutable_load() = loadSource_(aRoute);
  const auto bytes = static_cast<double>(aEnd.length());
  const auto [average, isNew] = answerBytes_.try_emplace(aRoute, bytes);
  average->second += isNew ? 0.0 : kAnswerSizeWeight * (bytes - average->second);
  *envelope.mutable_answer_end() = std::move(aEnd);
  if (queue_.Contains(aKey)) {
    queue_.Push({ aRecipient, aKey, std::move(envelope), 0, true, aRoute });
    SendDue();
    return;
  }
  Transmit({ aRecipient, aKey, std::move(envelope), 0, true, aRoute });
}

void AnswerSender::SendFailed(const peer::PeerRef& aRecipient,
                              const AttemptKey& aKey,
                              const std::string& aRoute,
                              std::string_view aReason,
                              peer::wire::RunState aRunState,
                              bool aDeep)
{
  peer::wire::Envelope envelope;
  peer::wire::AnswerFailed& failed = *envelope.mutable_answer_failed();
  SetKey(failed, aKey);
  failed.set_reason(std::string(aReason));
  failed.set_run_state(aRunState);
  failed.set_deep(aDeep);
  *failed.mutable_load() = loadSource_(aRoute);
  Drop(aKey);
  Transmit({ aRecipient, aKey, std::move(envelope), 0, true, aRoute });
}

} // namespace dandelionstand::target
