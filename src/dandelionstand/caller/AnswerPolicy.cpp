#include "dandelionstand/caller/AnswerPolicy.h"

namespace dandelionstand::caller {

namespace {

constexpr std::uint32_t kRequestTimeout = 408;
constexpr std::uint32_t kTooManyRequests = 429;
constexpr std::uint32_t kFirstServerError = 500;
constexpr std::uint32_t kServiceUnavailable = 503;
constexpr std::uint32_t kGatewayTimeout = 504;

bool IsIdempotent(const CallPlan& aPlan)
{
  return aPlan.idempotency_ == config::Idempotency::kIdempotent;
}

} // namespace

bool IsRetryableAnswer(const CallPlan& aPlan, const AttemptHead& aHead)
{
  // A request that timed out at one target would time out at another one too.
  const bool isFailure = aPlan.policy_.retriesServerErrors_
                           ? aHead.status_ >= kFirstServerError && aHead.status_ != kGatewayTimeout
                           : aHead.status_ == kServiceUnavailable;
  return IsIdempotent(aPlan) && isFailure && FindHeader(aHead.headers_, "Dandelion-Deep").empty();
}

bool IsFalsePromise(const CallPlan& aPlan, const AttemptHead& aHead)
{
  const bool isPromise = aHead.status_ == kRequestTimeout || aHead.status_ == kTooManyRequests ||
                         aHead.status_ == kServiceUnavailable;
  return aPlan.policy_.statusesPromiseNotRun_ && isPromise && !IsIdempotent(aPlan);
}

} // namespace dandelionstand::caller
