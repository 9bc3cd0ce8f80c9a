#include "dandelionstand/caller/OrderRecord.h"

#include "dandelionstand/common/EventLoop.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::caller {

namespace {

constexpr std::uint32_t kBadGateway = 502;

} // namespace

void OrderOutcome::DeliverTo(AnswerSink& aSink) const
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

OrderRecord::OrderRecord(KeyHash aKey, ClaimNumber aNumber, Taken aTaken, Over aOver)
  : key_(aKey)
  , number_(aNumber)
  , taken_(std::move(aTaken))
  , over_(std::move(aOver))
{
}

OrderRecord::~OrderRecord() = default;

void OrderRecord::SendHead(std::uint32_t aStatus, const Headers& aHeaders)
{
  outcome_.status_ = aStatus;
  outcome_.headers_ = aHeaders;
}

void OrderRecord::SendBody(const std::string& aData)
{
  if (outcome_.body_.size() + aData.size() <= kMaxAnswerBytes) {
    outcome_.body_ += aData;
  } else {
    outcome_.refusal_ = { kBadGateway, "answer-too-large", RunState::kRun };
  }
  taken_(static_cast<std::uint32_t>(aData.size()));
}

void OrderRecord::Finish()
{
  outcome_.isAnswered_ = outcome_.refusal_.reason_.empty();
  over_(*this);
}

void OrderRecord::Refuse(const Refusal& aRefusal)
{
  outcome_.refusal_ = aRefusal;
  over_(*this);
}

void OrderRecord::Abort(const std::string& aReason)
{
  outcome_.refusal_ = { kBadGateway, aReason, RunState::kRun };
  over_(*this);
}

void OrderRecord::Deliver()
{
  for (AnswerSink* waiter : std::exchange(waiters_, {})) {
    outcome_.DeliverTo(*waiter);
  }
}

void OrderRecord::RemoveWaiter(const AnswerSink& aSink)
{
  std::erase(waiters_, &aSink);
}

} // namespace dandelionstand::caller
