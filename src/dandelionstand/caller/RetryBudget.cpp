#include "dandelionstand/caller/RetryBudget.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::caller {

void RetryBudget::AddCall(common::TimePoint aNow)
{
  ++StepAt(aNow).calls_;
  ++calls_;
  saved_ = std::min(saved_ + settings_.ratio_, settings_.burst_);
  earned_ = std::min(earned_ + settings_.ratio_, settings_.reserve_);
}

bool RetryBudget::Spend(common::TimePoint aNow, std::uint32_t aCost)
{
  if (Remaining(aNow) < static_cast<double>(aCost)) {
    return false;
  }
  StepAt(aNow).retries_ += aCost;
  retries_ += aCost;
  saved_ -= aCost;
  return true;
}

double RetryBudget::Remaining(common::TimePoint aNow)
{
  StepAt(aNow);
  const bool hasReserve = aNow - start_ >= settings_.reserveDelay_;
  const double allowed =
    settings_.ratio_ * static_cast<double>(calls_) + (hasReserve ? settings_.reserve_ : 0.0);
  return std::min(allowed - static_cast<double>(retries_), saved_);
}

void RetryBudget::Refill(common::TimePoint aNow)
{
  if (!std::exchange(isStarted_, true)) {
    start_ = aNow;
    filledAt_ = aNow;
    saved_ =
      settings_.reserveDelay_.count() == 0 ? std::min(settings_.reserve_, settings_.burst_) : 0;
  }
  if (aNow - start_ >= settings_.reserveDelay_) {
    // The reserve is for low rates: it adds what the share of the calls leaves of it.
    const double windows = static_cast<double>((aNow - filledAt_).count()) /
                           static_cast<double>(settings_.window_.count());
    const double credit = windows * settings_.reserve_;
    saved_ = std::min(saved_ + std::max(0.0, credit - earned_), settings_.burst_);
    earned_ = std::max(0.0, earned_ - credit);
  }
  filledAt_ = aNow;
}

RetryBudget::Step& RetryBudget::StepAt(common::TimePoint aNow)
{
  Refill(aNow);
  const common::Duration step = settings_.window_ / kSteps;
  // A step goes once even its last moment is outside the window.
  while (!steps_.empty() && aNow - steps_.front().since_ >= settings_.window_ + step) {
    calls_ -= steps_.front().calls_;
    retries_ -= steps_.front().retries_;
    steps_.pop_front();
  }
  if (steps_.empty() || aNow - steps_.back().since_ >= step) {
    steps_.push_back({ aNow, 0, 0 });
  }
  return steps_.back();
}

} // namespace dandelionstand::caller
