#include "dandelionstand/peer/VersionFloor.h"

#include <algorithm>

namespace dandelionstand::peer {

namespace {

//! Time that the log is given to answer before peers alone decide.
constexpr common::Duration kLogGrace = std::chrono::milliseconds(2'500);
//! Ages on messages do not count the time under way.
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

VersionFloor::VersionFloor(common::TimePoint aStart)
  : start_(aStart)
{
}

void VersionFloor::OnLogTail(common::Offset aTail)
{
  if (!tail_.has_value()) {
    tail_ = aTail;
  }
}

void VersionFloor::OnPeerLogTail(common::Offset aTail, common::TimePoint aSeenAt)
{
  // An observation from before the start may miss what this instance had in force until then.
  if (aSeenAt >= start_ + kObservationMargin) {
    OnLogTail(aTail);
  }
}

void VersionFloor::OnServingPeer(common::Offset aPosition, common::Offset aFloor)
{
  peers_ = std::max(peers_.value_or(aPosition), aPosition);
  OnPeerFloor(aFloor);
}

void VersionFloor::OnPeerFloor(common::Offset aFloor)
{
  floor_ = std::max(floor_, aFloor);
}

VersionFloor::Decision VersionFloor::Decide(common::Offset aPosition, common::TimePoint aNow)
{
  if (granted_.has_value()) {
    return *granted_;
  }
  const Decision decision = DecideNow(aPosition, aNow);
  if (decision.mayServe_) {
    granted_ = decision;
  }
  return decision;
}

VersionFloor::Decision VersionFloor::DecideNow(common::Offset aPosition,
                                               common::TimePoint aNow) const
{
  const bool isBehindPeers = aPosition < floor_ || (peers_.has_value() && aPosition < *peers_);
  if (isBehindPeers) {
    return { false, ServeReason::kBehindPeers };
  }
  if (tail_.has_value()) {
    const bool isAtTail = aPosition >= *tail_;
    return { isAtTail, isAtTail ? ServeReason::kAtLogTail : ServeReason::kBehindLogTail };
  }
  if (peers_.has_value() && aNow >= start_ + kLogGrace) {
    return { true, ServeReason::kAtPeers };
  }
  return { false, ServeReason::kNoLogNorPeers };
}

} // namespace dandelionstand::peer
