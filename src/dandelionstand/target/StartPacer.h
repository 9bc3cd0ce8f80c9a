#ifndef dandelionstand_target_StartPacer_h
#define dandelionstand_target_StartPacer_h

#include "dandelionstand/common/Time.h"

#include <cstddef>
#include <optional>

namespace dandelionstand::target {

//! Paces the starts of work at a target that limits its rate of requests, as a token bucket.
//!
//! The bucket is empty when a limit comes into force, since the target may have received its share
//! already, and holds the starts of a quarter of a second, at least one. In any period of d seconds
//! there are at most rate * d + max(1, rate / 4) starts.
class StartPacer
{
public:
  //! Sets the limit in starts per second; nullopt removes it. At a rate near 0 single starts are
  //! still allowed, since the end of a limit is noticed only by an answer.
  void SetRate(std::optional<double> aStartsPerSecond, common::TimePoint aNow);
  std::optional<double> Rate() const { return rate_; }

  bool CanStart(common::TimePoint aNow) const;
  void RecordStart(common::TimePoint aNow);
  //! Time until work may start that has aAhead other work before it; 0 without a limit.
  common::Duration TimeToStart(std::size_t aAhead, common::TimePoint aNow) const;

private:
  double TokensAt(common::TimePoint aNow) const;

  std::optional<double> rate_;
  double tokens_ = 0;
  common::TimePoint updatedAt_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_StartPacer_h
