#include "dandelionstand/target/AnswerSender.h"

#include "dandelionstand/peer/generated/envelope.pb.h"

#include <string>
#include <utility>

namespace dandelionstand::target {

namespace {

template<typename Message>
void SetKey(Message& aMessage, const AttemptKey& aKey)
{
  aMessage.set_request_id(aKey.requestId_.Get());
  aMessage.set_attempt(aKey.attempt_);
  aMessage.set_caller_incarnation(aKey.callerIncarnation_.Get());
}

} // namespace

AnswerSender::AnswerSender(peer::Transport& aTransport, LoadSource aLoadSource)
  : transport_(aTransport)
  , loadSource_(std::move(aLoadSource))
{
}

bool AnswerSender::SendHead(const peer::PeerRef& aRecipient,
                            const AttemptKey& aKey,
                            peer::wire::AnswerHead aHead)
{
  peer::wire::Envelope envelope;
  SetKey(aHead, aKey);
  *envelope.mutable_answer_head() = std::move(aHead);
  return transport_.Send(aRecipient, envelope);
}

bool AnswerSender::SendBody(const peer::PeerRef& aRecipient,
                            const AttemptKey& aKey,
                            peer::wire::AnswerBody aBody)
{
  peer::wire::Envelope envelope;
  SetKey(aBody, aKey);
  *envelope.mutable_answer_body() = std::move(aBody);
  return transport_.Send(aRecipient, envelope);
}

bool AnswerSender::SendEnd(const peer::PeerRef& aRecipient,
                           const AttemptKey& aKey,
                           const std::string& aRoute,
                           peer::wire::AnswerEnd aEnd)
{
  peer::wire::Envelope envelope;
  SetKey(aEnd, aKey);
  *aEnd.mutable_load() = loadSource_(aRoute);
  *envelope.mutable_answer_end() = std::move(aEnd);
  return transport_.Send(aRecipient, envelope);
}

bool AnswerSender::SendFailed(const peer::PeerRef& aRecipient,
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
  return transport_.Send(aRecipient, envelope);
}

} // namespace dandelionstand::target
