#include "dandelionstand/caller/KeyedRequest.h"

#include "dandelionstand/common/EventLoop.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::caller {

namespace {

constexpr std::uint32_t kBadGateway = 502;

} // namespace

void RequestOutcome::DeliverTo(AnswerSink& aSink) const
{
  if (!isAnswered_) {
    aSink.Refuse(refusal_);
    return;
  }
  aSink.SendHead(status_, headers_);
  if (!body_.empty()) {
    aSink.SendBody(body_);
  }
  aSink.Finish();
}

KeyedRequest::KeyedRequest(KeyHash aKey,
                           ClaimNumber aNumber,
                           ConsumedHandler aOnConsumed,
                           CompletionHandler aOnCompleted)
  : key_(aKey)
  , number_(aNumber)
  , onConsumed_(std::move(aOnConsumed))
  , onCompleted_(std::move(aOnCompleted))
{
}

KeyedRequest::~KeyedRequest() = default;

void KeyedRequest::SendHead(std::uint32_t aStatus, const Headers& aHeaders)
{
  outcome_.status_ = aStatus;
  outcome_.headers_ = aHeaders;
}

void KeyedRequest::SendBody(const std::string& aData)
{
  if (outcome_.body_.size() + aData.size() <= kMaxAnswerBytes) {
    outcome_.body_ += aData;
  } else {
    outcome_.refusal_ = { kBadGateway, "answer-too-large", RunState::kRun };
  }
  onConsumed_(static_cast<std::uint32_t>(aData.size()));
}

void KeyedRequest::Finish()
{
  outcome_.isAnswered_ = outcome_.refusal_.reason_.empty();
  onCompleted_(*this);
}

void KeyedRequest::Refuse(const Refusal& aRefusal)
{
  outcome_.refusal_ = aRefusal;
  onCompleted_(*this);
}

void KeyedRequest::Abort(const std::string& aReason)
{
  outcome_.refusal_ = { kBadGateway, aReason, RunState::kRun };
  onCompleted_(*this);
}

void KeyedRequest::Deliver()
{
  for (AnswerSink* sink : std::exchange(sinks_, {})) {
    outcome_.DeliverTo(*sink);
  }
}

void KeyedRequest::RemoveSink(const AnswerSink& aSink)
{
  std::erase(sinks_, &aSink);
}

} // namespace dandelionstand::caller
