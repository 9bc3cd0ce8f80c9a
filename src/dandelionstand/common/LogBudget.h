#ifndef dandelionstand_common_LogBudget_h
#define dandelionstand_common_LogBudget_h

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/Time.h"

#include <cstdint>

namespace dandelionstand::common {

struct LogBudgetSettings
{
  //! Long-term rate. With 200 bytes per line this is about 160 lines per second, the request rate
  //! of one daemon at the target size.
  double bytesPerSecond_ = 32.0 * 1024;
  double burstBytes_ = 128.0 * 1024; //!< Maximum to write at once, after a quiet period.
};

//! Token bucket that limits the bytes written to the log.
//!
//! Keeps important lines during a flood of refused requests: debug and info lines are dropped
//! first, warnings only when the budget is overdrawn by a full burst, and errors never.
class LogBudget
{
public:
  explicit LogBudget(LogBudgetSettings aSettings)
    : settings_(aSettings)
    , availableBytes_(aSettings.burstBytes_)
  {
  }

  //! Returns whether a line may be written, and charges its size to the budget if so.
  bool Admit(Severity aSeverity, std::size_t aBytes, TimePoint aNow);
  //! Returns the number of lines dropped since the last call.
  std::uint64_t ConsumeDroppedCount();

private:
  //! Balance, in bytes, that must remain after a line of this severity is written.
  double MinBalance(Severity aSeverity) const;

  LogBudgetSettings settings_;
  double availableBytes_;
  TimePoint refilledAt_;
  bool isRefillTimeSet_ = false;
  std::uint64_t dropped_ = 0;
};

} // namespace dandelionstand::common

#endif // dandelionstand_common_LogBudget_h
