#ifndef dandelionstand_caller_RetryBudget_h
#define dandelionstand_caller_RetryBudget_h

#include "dandelionstand/common/Time.h"

#include <cstdint>

namespace dandelionstand::caller {

//! Limits the retries towards one service to a share of its first attempts.
//!
//! A small reserve, refilled slowly, lets single retries through at low rates.
class RetryBudget
{
public:
  explicit RetryBudget(std::uint32_t aPercent)
    : percent_(aPercent)
  {
  }

  void SetPercent(std::uint32_t aPercent) { percent_ = aPercent; }

  //! Counts a first attempt.
  void AddCall(common::TimePoint aNow);
  //! Takes one retry from the budget; false if it is used up.
  bool Spend(common::TimePoint aNow);

private:
  void Refill(common::TimePoint aNow);
  void Add(double aRetries);

  static constexpr double kReserve = 10.0;

  std::uint32_t percent_;
  double retries_ = kReserve;
  common::TimePoint refilledAt_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_RetryBudget_h
