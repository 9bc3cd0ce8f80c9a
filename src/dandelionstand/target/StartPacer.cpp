#include "dandelionstand/target/StartPacer.h"

#include <algorithm>
#include <cmath>

namespace dandelionstand::target {

namespace {

//! Rates below this are raised to it, in starts per second.
constexpr double kMinRate = 0.25;
//! Starts of this many seconds accumulate while there is no work.
constexpr double kBurstSeconds = 0.25;
constexpr double kMinBurst = 1.0;
//! Tolerates rounding of the accumulated tokens.
constexpr double kTokenTolerance = 1e-6;
constexpr double kMicrosecondsPerSecond = 1e6;

double BurstOf(double aRate)
{
  return std::max(kMinBurst, aRate * kBurstSeconds);
}

} // namespace

void StartPacer::SetRate(std::optional<double> aStartsPerSecond, common::TimePoint aNow)
{
  if (!aStartsPerSecond) {
    rate_.reset();
    return;
  }
  const double rate = std::max(kMinRate, *aStartsPerSecond);
  tokens_ = rate_ ? std::min(TokensAt(aNow), BurstOf(rate)) : 0;
  updatedAt_ = aNow;
  rate_ = rate;
}

bool StartPacer::CanStart(common::TimePoint aNow) const
{
  return !rate_ || TokensAt(aNow) + kTokenTolerance >= 1.0;
}

void StartPacer::RecordStart(common::TimePoint aNow)
{
  if (rate_) {
    tokens_ = TokensAt(aNow) - 1.0;
    updatedAt_ = aNow;
  }
}

common::Duration StartPacer::TimeToStart(std::size_t aAhead, common::TimePoint aNow) const
{
  if (!rate_) {
    return {};
  }
  const double missing = static_cast<double>(aAhead) + 1.0 - TokensAt(aNow);
  return common::Duration(static_cast<common::Duration::rep>(
    std::ceil(std::max(0.0, missing) / *rate_ * kMicrosecondsPerSecond)));
}

double StartPacer::TokensAt(common::TimePoint aNow) const
{
  const double seconds = static_cast<double>((aNow - updatedAt_).count()) / kMicrosecondsPerSecond;
  return std::min(tokens_ + seconds * *rate_, BurstOf(*rate_));
}

} // namespace dandelionstand::target
