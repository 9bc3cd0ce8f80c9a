#ifndef dandelionstand_caller_RetryBudget_h
#define dandelionstand_caller_RetryBudget_h

#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <deque>

namespace dandelionstand::caller {

struct RetryBudgetSettings
{
  double ratio_ = 0.1;                                 //!< Retries by first attempts.
  double reserve_ = 10;                                //!< Retries in a window on top.
  common::Duration window_ = std::chrono::seconds(10); //!< Over which both count.
  //! Most retries that a quiet time saves up for later.
  double burst_ = 10;
  //! The reserve counts from so long after the start. Daemons that start again in a wave would
  //! each spend a reserve that the one before them spent already.
  common::Duration reserveDelay_{ 0 };
};

//! Limits the retries towards one service to a share of its first attempts, over a sliding window
//! and in each burst.
//!
//! Answers the load pattern of an outage: every request fails once, and without a limit the
//! retries double the load on the endpoints that are left.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetSettings aSettings)
    : settings_(aSettings)
  {
  }

  void SetSettings(const RetryBudgetSettings& aSettings) { settings_ = aSettings; }

  //! Counts a first attempt.
  void AddCall(common::TimePoint aNow);
  //! Takes a retry from the budget; false if it is used up. aCost is above 1 for one that may lead
  //! to retries of other calls in turn.
  bool Spend(common::TimePoint aNow, std::uint32_t aCost = 1);
  //! Retries that are left at present.
  double Remaining(common::TimePoint aNow);

private:
  //! What happened in one step of the window.
  struct Step
  {
    common::TimePoint since_;
    std::uint32_t calls_ = 0;
    std::uint32_t retries_ = 0;
  };

  Step& StepAt(common::TimePoint aNow);
  void Refill(common::TimePoint aNow);

  static constexpr int kSteps = 20;

  RetryBudgetSettings settings_;
  std::deque<Step> steps_;
  std::uint64_t calls_ = 0;
  std::uint64_t retries_ = 0;
  double saved_ = 0;  //!< Retries saved up, at most a burst.
  double earned_ = 0; //!< By calls, and not yet set against the reserve.
  common::TimePoint filledAt_;
  common::TimePoint start_;
  bool isStarted_ = false;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_RetryBudget_h
