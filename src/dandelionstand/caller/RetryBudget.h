#ifndef dandelionstand_caller_RetryBudget_h
#define dandelionstand_caller_RetryBudget_h

#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <deque>

namespace dandelionstand::caller {

struct RetryBudgetSettings
{
  double ratio_ = 0.1;                                 //!< Retries per first attempt.
  double reserve_ = 10;                                //!< Additional retries per window.
  common::Duration window_ = std::chrono::seconds(10); //!< Period over which both apply.
  //! Maximum number of unused retries that accumulate.
  double burst_ = 10;
  //! Time from the first use until the reserve is available. It keeps daemons that restart in
  //! quick succession from each spending a reserve that their predecessor has already spent.
  common::Duration reserveDelay_{ 0 };
};

//! Limits the retries towards one service to a share of its first attempts, over a sliding window
//! and in each burst.
//!
//! In an outage every request fails once; without a limit the retries would double the load on the
//! remaining endpoints.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetSettings aSettings)
    : settings_(aSettings)
  {
  }

  void SetSettings(const RetryBudgetSettings& aSettings) { settings_ = aSettings; }

  //! Counts a first attempt.
  void RecordCall(common::TimePoint aNow);
  //! Charges a retry to the budget; false if the budget does not allow it. aCost is above 1 for a
  //! retry that may cause retries of further calls.
  bool TrySpend(common::TimePoint aNow, std::uint32_t aCost = 1);
  //! Retries available at aNow.
  double Remaining(common::TimePoint aNow);

private:
  //! Counts of one step of the sliding window.
  struct Step
  {
    common::TimePoint startedAt_;
    std::uint32_t calls_ = 0;
    std::uint32_t retries_ = 0;
  };

  //! Slides the window to aNow and returns its newest step.
  Step& AdvanceTo(common::TimePoint aNow);
  void Refill(common::TimePoint aNow);

  static constexpr int kStepsPerWindow = 20;

  RetryBudgetSettings settings_;
  std::deque<Step> steps_;
  std::uint64_t calls_ = 0;
  std::uint64_t retries_ = 0;
  double tokens_ = 0;       //!< Accumulated retries, at most burst_.
  double earnedTokens_ = 0; //!< Earned by calls, not yet offset against the reserve.
  common::TimePoint refilledAt_;
  common::TimePoint firstUsedAt_;
  bool isStarted_ = false;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_RetryBudget_h
