#include "dandelionstand/caller/RetryBudget.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::caller {

void RetryBudget::RecordCall(common::TimePoint aNow)
{
  ++AdvanceTo(aNow).calls_;
  ++calls_;
  tokens_ = std::min(tokens_ + settings_.ratio_, settings_.burst_);
  earnedTokens_ = std::min(earnedTokens_ + settings_.ratio_, settings_.reserve_);
}

bool RetryBudget::TrySpend(common::TimePoint aNow, std::uint32_t aCost)
{
  if (Remaining(aNow) < static_cast<double>(aCost)) {
    return false;
  }
  AdvanceTo(aNow).retries_ += aCost;
  retries_ += aCost;
  tokens_ -= aCost;
  return true;
}

double RetryBudget::Remaining(common::TimePoint aNow)
{
  AdvanceTo(aNow);
  const bool hasReserve = aNow - firstUsedAt_ >= settings_.reserveDelay_;
  const double allowed =
    settings_.ratio_ * static_cast<double>(calls_) + (hasReserve ? settings_.reserve_ : 0.0);
  return std::min(allowed - static_cast<double>(retries_), tokens_);
}

void RetryBudget::Refill(common::TimePoint aNow)
{
  if (!std::exchange(isStarted_, true)) {
    firstUsedAt_ = aNow;
    refilledAt_ = aNow;
    tokens_ =
      settings_.reserveDelay_.count() == 0 ? std::min(settings_.reserve_, settings_.burst_) : 0;
  }
  if (aNow - firstUsedAt_ >= settings_.reserveDelay_) {
    // The reserve is meant for low call rates: it adds only what calls have not earned already.
    const double windows = static_cast<double>((aNow - refilledAt_).count()) /
                           static_cast<double>(settings_.window_.count());
    const double credit = windows * settings_.reserve_;
    tokens_ = std::min(tokens_ + std::max(0.0, credit - earnedTokens_), settings_.burst_);
    earnedTokens_ = std::max(0.0, earnedTokens_ - credit);
  }
  refilledAt_ = aNow;
}

RetryBudget::Step& RetryBudget::AdvanceTo(common::TimePoint aNow)
{
  Refill(aNow);
  const common::Duration step = settings_.window_ / kStepsPerWindow;
  // A step is removed once its end has left the window.
  while (!steps_.empty() && aNow - steps_.front().startedAt_ >= settings_.window_ + step) {
    calls_ -= steps_.front().calls_;
    retries_ -= steps_.front().retries_;
    steps_.pop_front();
  }
  if (steps_.empty() || aNow - steps_.back().startedAt_ >= step) {
    steps_.push_back({ aNow, 0, 0 });
  }
  return steps_.back();
}

} // namespace dandelionstand::caller
