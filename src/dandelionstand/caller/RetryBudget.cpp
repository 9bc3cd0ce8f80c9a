#include "dandelionstand/caller/RetryBudget.h"

#include <utility>

namespace dandelionstand::caller {

void RetryBudget::AddCall(common::TimePoint aNow)
{
  ++StepAt(aNow).calls_;
  ++calls_;
}

bool RetryBudget::Spend(common::TimePoint aNow, std::uint32_t aCost)
{
  if (Left(aNow) < static_cast<double>(aCost)) {
    return false;
  }
  StepAt(aNow).retries_ += aCost;
  retries_ += aCost;
  return true;
}

double RetryBudget::Left(common::TimePoint aNow)
{
  StepAt(aNow);
  const bool hasReserve = aNow - start_ >= settings_.reserveAfter_;
  const double allowed =
    settings_.share_ * static_cast<double>(calls_) + (hasReserve ? settings_.reserve_ : 0.0);
  return allowed - static_cast<double>(retries_);
}

RetryBudget::Step& RetryBudget::StepAt(common::TimePoint aNow)
{
  if (!std::exchange(isStarted_, true)) {
    start_ = aNow;
  }
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
