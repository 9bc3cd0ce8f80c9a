#include "dandelionstand/common/LogBudget.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dandelionstand::common {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
//! Plain lines leave this share of a burst for the lines of failures.
constexpr double kPlainFloor = 0.5;

} // namespace

bool LogBudget::Admit(Severity aSeverity, std::size_t aBytes, TimePoint aNow)
{
  if (!std::exchange(isStarted_, true)) {
    filledAt_ = aNow;
  }
  const double seconds = static_cast<double>((aNow - filledAt_).count()) / kMicrosecondsPerSecond;
  filledAt_ = aNow;
  bytes_ = std::min(bytes_ + seconds * settings_.bytesPerSecond_, settings_.burstBytes_);
  const auto size = static_cast<double>(aBytes);
  if (bytes_ - size < FloorOf(aSeverity)) {
    ++dropped_;
    return false;
  }
  bytes_ -= size;
  return true;
}

double LogBudget::FloorOf(Severity aSeverity) const
{
  switch (aSeverity) {
    case Severity::kDebug:
    case Severity::kInfo:
      return settings_.burstBytes_ * kPlainFloor;
    case Severity::kWarn:
      return -settings_.burstBytes_;
    case Severity::kError:
      break;
  }
  return std::numeric_limits<double>::lowest();
}

std::uint64_t LogBudget::TakeDropped()
{
  return std::exchange(dropped_, 0);
}

} // namespace dandelionstand::common
