#ifndef dandelionstand_common_LogBudget_h
#define dandelionstand_common_LogBudget_h

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/Time.h"

#include <cstdint>

namespace dandelionstand::common {

struct LogBudgetSettings
{
  //! Bytes a second in the long run. At 200 bytes a line this is 160 lines a second, the rate of
  //! requests of one daemon at the target size.
  double bytesPerSecond_ = 32.0 * 1024;
  double burstBytes_ = 128.0 * 1024; //!< That may be written at once after a quiet time.
};

//! Decides which lines of the log are written.
//!
//! Answers the load pattern of a flood of refusals: plain lines are left out first, lines of
//! failures only when the budget is overdrawn by a whole burst, and errors never.
class LogBudget
{
public:
  explicit LogBudget(LogBudgetSettings aSettings)
    : settings_(aSettings)
    , bytes_(aSettings.burstBytes_)
  {
  }

  bool Admit(Severity aSeverity, std::size_t aBytes, TimePoint aNow);
  //! Lines left out since the last call.
  std::uint64_t TakeDropped();

private:
  double FloorOf(Severity aSeverity) const;

  LogBudgetSettings settings_;
  double bytes_;
  TimePoint filledAt_;
  bool isStarted_ = false;
  std::uint64_t dropped_ = 0;
};

} // namespace dandelionstand::common

#endif // dandelionstand_common_LogBudget_h
