#include "dandelionstand/quota/GrantIssuer.h"

#include <algorithm>
#include <cmath>

namespace dandelionstand::quota {

namespace {

//! A daemon that has stated no demand for so long has none.
constexpr common::Duration kDemandLifetime = std::chrono::milliseconds(1'500);
//! Time between the checks for daemons that have no demand any more.
constexpr common::Duration kDemandCheckInterval = kDemandLifetime / 15;
//! A daemon may take this multiple of its share of the bucket, since not all request at a time.
constexpr double kShareFactor = 4;
//! Bounds of the time after which a daemon requests again.
constexpr common::Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr common::Duration kMaxRetryAfter = std::chrono::seconds(2);

common::Duration FromSeconds(double aSeconds)
{
  const double limit = std::chrono::duration<double>(kMaxRetryAfter).count();
  return std::chrono::duration_cast<common::Duration>(
    std::chrono::duration<double>(std::clamp(aSeconds, 0.0, limit)));
}

} // namespace

GrantIssuer::Bucket& GrantIssuer::BucketOf(const common::OrganisationName& aOrganisation,
                                           const QuotaLimits& aLimits,
                                           const Tenure& aTenure,
                                           common::TimePoint aNow)
{
  const auto [entry, isNew] = buckets_.try_emplace(aOrganisation);
  Bucket& bucket = entry->second;
  if (isNew || bucket.since_ != aTenure.since_) {
    bucket.level_ = aTenure.isSuccessor_ ? aLimits.SuccessorStartLevel() : aLimits.StartLevel();
    bucket.filledAt_ = aTenure.since_;
    bucket.since_ = aTenure.since_;
  }
  const double elapsed = std::chrono::duration<double>(aNow - bucket.filledAt_).count();
  bucket.level_ =
    std::min(aLimits.Capacity(), bucket.level_ + std::max(0.0, elapsed) * aLimits.Rate());
  bucket.filledAt_ = std::max(bucket.filledAt_, aNow);
  return bucket;
}

double GrantIssuer::UpdateDemand(Bucket& aBucket,
                                 const common::InstanceId& aRequester,
                                 double aPerSecond,
                                 common::TimePoint aNow)
{
  Demand& stated = aBucket.demands_[aRequester];
  aBucket.demand_ += aPerSecond - stated.perSecond_;
  stated = { aPerSecond, aNow };
  // A sum over all daemons for each request would grow with the square of their number.
  if (aNow - aBucket.demandsCheckedAt_ >= kDemandCheckInterval) {
    aBucket.demandsCheckedAt_ = aNow;
    std::erase_if(aBucket.demands_, [&](const auto& aEntry) {
      return aNow - aEntry.second.statedAt_ > kDemandLifetime;
    });
    aBucket.demand_ = 0;
    for (const auto& [instance, demand] : aBucket.demands_) {
      aBucket.demand_ += demand.perSecond_;
    }
  }
  return aBucket.demand_;
}

Grant GrantIssuer::Issue(const common::OrganisationName& aOrganisation,
                         const QuotaLimits& aLimits,
                         const common::InstanceId& aRequester,
                         const GrantRequest& aRequest,
                         const Tenure& aTenure,
                         common::TimePoint aNow)
{
  Bucket& bucket = BucketOf(aOrganisation, aLimits, aTenure, aNow);
  const double demand = UpdateDemand(bucket, aRequester, aRequest.demandPerSecond_, aNow);
  double available = std::max(0.0, std::floor(bucket.level_));
  if (demand > aLimits.Rate() && available >= 1) {
    const double share = aRequest.demandPerSecond_ / demand;
    available = std::max(1.0, std::floor(available * std::min(1.0, kShareFactor * share)));
  }
  Grant grant;
  grant.tokens_ = static_cast<std::uint32_t>(std::min<double>(available, aRequest.wanted_));
  bucket.level_ -= grant.tokens_;
  if (grant.tokens_ < aRequest.wanted_) {
    // What is asked beyond the rate in a second takes this long to pass.
    const double excess = aLimits.Rate() > 0 ? demand / aLimits.Rate() - 1 : 2;
    const double untilOne = aLimits.Rate() > 0 ? (1 - bucket.level_) / aLimits.Rate() : 2;
    grant.retryAfter_ = std::max(kMinRetryAfter, FromSeconds(std::max(excess, untilOne)));
  }
  return grant;
}

} // namespace dandelionstand::quota
