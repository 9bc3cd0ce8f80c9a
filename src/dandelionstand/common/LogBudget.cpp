#include "dandelionstand/common/LogBudget.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dandelionstand::common {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
//! Share of a burst that debug and info lines leave for warnings and errors.
constexpr double kInfoReserveShare = 0.5;

} // namespace

bool LogBudget::Admit(Severity aSeverity, std::size_t aBytes, TimePoint aNow)
{
  if (!std::exchange(isRefillTimeSet_, true)) {
    refilledAt_ = aNow;
  }
  const double seconds = static_cast<double>((aNow - refilledAt_).count()) / kMicrosecondsPerSecond;
  refilledAt_ = aNow;
  availableBytes_ =
    std::min(availableBytes_ + seconds * settings_.bytesPerSecond_, settings_.burstBytes_);
  const auto size = static_cast<double>(aBytes);
  if (availableBytes_ - size < MinBalance(aSeverity)) {
    ++dropped_;
    return false;
  }
  availableBytes_ -= size;
  return true;
}

double LogBudget::MinBalance(Severity aSeverity) const
{
  switch (aSeverity) {
    case Severity::kDebug:
    case Severity::kInfo:
      return settings_.burstBytes_ * kInfoReserveShare;
    case Severity::kWarn:
      return -settings_.burstBytes_;
    case Severity::kError:
      break;
  }
  return std::numeric_limits<double>::lowest();
}

std::uint64_t LogBudget::ConsumeDroppedCount()
{
  return std::exchange(dropped_, 0);
}

} // namespace dandelionstand::common
