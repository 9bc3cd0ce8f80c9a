#include "dandelionstand/peer/VersionFloor.h"

#include <algorithm>

namespace dandelionstand::peer {

namespace {

//! If the log has not answered by then, the positions of the serving peers are sufficient.
constexpr common::Duration kLogGracePeriod = std::chrono::milliseconds(2'500);
//! The ages in messages do not include the transmission time, so observations appear more recent
//! than they are.
constexpr common::Duration kObservationMargin = std::chrono::milliseconds(100);

} // namespace

const char* ToText(ServeReason aReason)
{
  switch (aReason) {
    case ServeReason::kAtLogTail:
      return "at-log-tail";
    case ServeReason::kAtPeers:
      return "at-peers";
    case ServeReason::kBehindLogTail:
      return "behind-log-tail";
    case ServeReason::kBehindPeers:
      return "behind-peers";
    case ServeReason::kNoLogNorPeers:
      return "no-log-nor-peers";
  }
  return "unknown";
}

VersionFloor::VersionFloor(common::TimePoint aStartedAt)
  : startedAt_(aStartedAt)
{
}

void VersionFloor::OnLogTail(common::Offset aTail)
{
  if (!logTail_.has_value()) {
    logTail_ = aTail;
  }
}

void VersionFloor::OnPeerLogTail(common::Offset aTail, common::TimePoint aObservedAt)
{
  // This instance may have passed a tail that was observed before its start.
  if (aObservedAt >= startedAt_ + kObservationMargin) {
    OnLogTail(aTail);
  }
}

void VersionFloor::OnServingPeer(common::Offset aPosition, common::Offset aFloor)
{
  highestServingPosition_ = std::max(highestServingPosition_.value_or(aPosition), aPosition);
  OnPeerFloor(aFloor);
}

void VersionFloor::OnPeerFloor(common::Offset aFloor)
{
  rememberedFloor_ = std::max(rememberedFloor_, aFloor);
}

VersionFloor::Decision VersionFloor::Decide(common::Offset aPosition, common::TimePoint aNow)
{
  if (grantedDecision_.has_value()) {
    return *grantedDecision_;
  }
  const Decision decision = Evaluate(aPosition, aNow);
  if (decision.mayServe_) {
    grantedDecision_ = decision;
  }
  return decision;
}

VersionFloor::Decision VersionFloor::Evaluate(common::Offset aPosition,
                                              common::TimePoint aNow) const
{
  const bool isBehindPeers = aPosition < rememberedFloor_ || (highestServingPosition_.has_value() &&
                                                              aPosition < *highestServingPosition_);
  if (isBehindPeers) {
    return { false, ServeReason::kBehindPeers };
  }
  if (logTail_.has_value()) {
    const bool isAtTail = aPosition >= *logTail_;
    return { isAtTail, isAtTail ? ServeReason::kAtLogTail : ServeReason::kBehindLogTail };
  }
  if (highestServingPosition_.has_value() && aNow >= startedAt_ + kLogGracePeriod) {
    return { true, ServeReason::kAtPeers };
  }
  return { false, ServeReason::kNoLogNorPeers };
}

} // namespace dandelionstand::peer
