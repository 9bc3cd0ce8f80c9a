#include "dandelionstand/quota/TokenPool.h"

#include "dandelionstand/common/Durations.h"

#include <algorithm>
#include <cmath>

namespace dandelionstand::quota {

namespace {

//! Time constant of the demand's moving average: short against the bursts that callers send.
constexpr double kDemandSeconds = 0.5;
//! Tokens are requested when those here last for less than this share of a lifetime.
constexpr double kLowShare = 0.4;
//! Requests that are expected in a lifetime, times this, are requested, so that few tokens expire.
constexpr double kStockFactor = 0.8;
//! Below this demand in a lifetime tokens ahead would mostly expire unspent.
constexpr double kMinPrefetch = 2;

} // namespace

double TokenPool::DemandPerSecond(common::TimePoint aNow) const
{
  return demand_ * std::exp(-common::ToSeconds(aNow - demandAt_) / kDemandSeconds);
}

void TokenPool::OnArrival(common::TimePoint aNow)
{
  demand_ = DemandPerSecond(aNow) + 1 / kDemandSeconds;
  demandAt_ = aNow;
}

void TokenPool::DropExpired(common::TimePoint aNow)
{
  while (!batches_.empty() && batches_.front().expiresAt_ <= aNow) {
    batches_.pop_front();
  }
}

std::optional<common::TimePoint> TokenPool::TrySpend(common::TimePoint aNow)
{
  DropExpired(aNow);
  if (batches_.empty()) {
    return std::nullopt;
  }
  const common::TimePoint expiresAt = batches_.front().expiresAt_;
  if (--batches_.front().tokens_ == 0) {
    batches_.pop_front();
  }
  return expiresAt;
}

void TokenPool::Return(common::TimePoint aExpiresAt, common::TimePoint aNow)
{
  if (aExpiresAt > aNow) {
    AddBatch({ 1, aExpiresAt });
  }
}

void TokenPool::AddBatch(const Batch& aBatch)
{
  const auto later = std::find_if(batches_.begin(), batches_.end(), [&](const Batch& aOther) {
    return aOther.expiresAt_ > aBatch.expiresAt_;
  });
  batches_.insert(later, aBatch);
}

std::optional<common::Duration> TokenPool::BlockedFor(common::TimePoint aNow) const
{
  return aNow < blockedUntil_ ? std::optional(blockedUntil_ - aNow) : std::nullopt;
}

std::uint32_t TokenPool::TokenCount(common::TimePoint aNow) const
{
  std::uint32_t count = 0;
  for (const Batch& batch : batches_) {
    count += batch.expiresAt_ > aNow ? batch.tokens_ : 0;
  }
  return count;
}

std::optional<GrantRequest> TokenPool::NextRequest(std::size_t aWaiting, common::TimePoint aNow)
{
  DropExpired(aNow);
  if (requestedAt_ || aNow < blockedUntil_) {
    return std::nullopt;
  }
  const double demand = DemandPerSecond(aNow);
  const double inLifetime = demand * common::ToSeconds(lifetime_);
  const auto low = aNow + common::Duration(static_cast<common::Duration::rep>(
                            static_cast<double>(lifetime_.count()) * kLowShare));
  const bool isLow = TokenCount(low) < inLifetime * kLowShare;
  const double stock = inLifetime >= kMinPrefetch && isLow ? inLifetime * kStockFactor : 0;
  const double wanted = stock + static_cast<double>(aWaiting) - TokenCount(low);
  if (wanted < 1 && (aWaiting == 0 || TokenCount(aNow) > 0)) {
    return std::nullopt;
  }
  requestedAt_ = aNow;
  return GrantRequest{ static_cast<std::uint32_t>(std::ceil(std::max(1.0, wanted))),
                       std::max(demand, static_cast<double>(aWaiting)) };
}

void TokenPool::OnGrant(const Grant& aGrant, common::TimePoint aRequestedAt, common::TimePoint aNow)
{
  requestedAt_.reset();
  if (aGrant.tokens_ > 0) {
    AddBatch({ aGrant.tokens_, aRequestedAt + lifetime_ });
  }
  if (aGrant.retryAfter_.count() > 0) {
    // With a part of the tokens, the next part follows at the usual pace.
    const common::Duration pause =
      aGrant.tokens_ > 0 ? std::min(aGrant.retryAfter_, lifetime_ / 5) : aGrant.retryAfter_;
    blockedUntil_ = aNow + std::min(pause, lifetime_ / 2);
  }
}

bool TokenPool::TrySpendAutonomously(std::size_t aShare,
                                     common::Duration aWindow,
                                     common::TimePoint aNow)
{
  while (!autonomousSpends_.empty() && aNow - autonomousSpends_.front() >= aWindow) {
    autonomousSpends_.pop_front();
  }
  if (autonomousSpends_.size() >= aShare || aNow < autonomousFrom_) {
    return false;
  }
  autonomousSpends_.push_back(aNow);
  return true;
}

} // namespace dandelionstand::quota
