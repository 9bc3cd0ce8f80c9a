#include "dandelionstand/target/TargetRecord.h"

#include <algorithm>

namespace dandelionstand::target {

namespace {

//! Whether news are of an earlier start than what is known.
bool IsEarlierStart(const TargetAnnouncement& aNews, const TargetAnnouncement& aKnown)
{
  if (aNews.startedAtMs_ != 0 && aKnown.startedAtMs_ != 0) {
    return aNews.startedAtMs_ < aKnown.startedAtMs_;
  }
  // Without the time of its start, a leave can only be matched by the name.
  return aNews.phase_ == TargetPhase::kGone && aNews.incarnationId_ != aKnown.incarnationId_;
}

bool IsSameStart(const TargetAnnouncement& aNews, const TargetAnnouncement& aKnown)
{
  const bool isBornTogether = aNews.startedAtMs_ == aKnown.startedAtMs_ ||
                              aNews.startedAtMs_ == 0 || aKnown.startedAtMs_ == 0;
  return aNews.incarnationId_ == aKnown.incarnationId_ && isBornTogether;
}

} // namespace

const char* ToText(TargetPhase aPhase)
{
  switch (aPhase) {
    case TargetPhase::kReady:
      return "ready";
    case TargetPhase::kDraining:
      return "draining";
    case TargetPhase::kGone:
      return "gone";
  }
  return "unknown";
}

TargetRecord::Verdict TargetRecord::Apply(const TargetAnnouncement& aNews, common::TimePoint aNow)
{
  if (!known_) {
    known_ = aNews;
    heardAt_ = aNow;
    return Verdict::kApplied;
  }
  if (IsEarlierStart(aNews, *known_)) {
    return Verdict::kStale;
  }
  if (IsSameStart(aNews, *known_)) {
    // A leave carries no sequence and is final whenever it comes.
    const bool isOld = aNews.phase_ != TargetPhase::kGone && aNews.sequence_ <= known_->sequence_;
    if (isOld) {
      return Verdict::kStale;
    }
    const TargetPhase phase = std::max(known_->phase_, aNews.phase_);
    if (aNews.phase_ != TargetPhase::kGone) {
      known_ = aNews;
    }
    known_->phase_ = phase;
  } else {
    known_ = aNews;
  }
  heardAt_ = aNow;
  isReachable_ = true;
  return Verdict::kApplied;
}

bool TargetRecord::IsReady(common::TimePoint aNow) const
{
  return known_ && known_->phase_ == TargetPhase::kReady && isReachable_ && Age(aNow) < silence_;
}

} // namespace dandelionstand::target
