#include "standins/proxy/Border.h"

#include <algorithm>

namespace dandelionstand::standins {

namespace {

constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;

} // namespace

common::TimePoint Border::Schedule(std::size_t aBytes, common::TimePoint aNow)
{
  if (rule_.bytesPerSecond_ == 0) {
    return aNow + rule_.delay_;
  }
  const common::Duration transmissionDuration(aBytes * kMicrosecondsPerSecond /
                                              rule_.bytesPerSecond_);
  freeAt_ = std::max(freeAt_, aNow) + transmissionDuration;
  return freeAt_ + rule_.delay_;
}

} // namespace dandelionstand::standins
