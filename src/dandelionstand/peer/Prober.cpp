#include "dandelionstand/peer/Prober.h"

#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

//! A longer time between two ticks means that this process was paused.
constexpr common::Duration kPauseThreshold = std::chrono::milliseconds(500);
constexpr std::size_t kMaxRequesters = 256;

} // namespace

Prober::Prober(ProberSettings aSettings, common::TimePoint aNow)
  : settings_(aSettings)
  , lastTick_(aNow)
  , nextProbe_(aNow)
{
}

ProbeActions Prober::Tick(const Members& aOthers, common::TimePoint aNow, std::mt19937_64& aRandom)
{
  ResetAfterPause(aNow);
  ProbeIndirectly(aOthers, aNow, aRandom);
  if (aNow >= nextProbe_) {
    nextProbe_ = aNow + settings_.probeInterval_;
    ProbeNext(aOthers, aNow, aRandom);
  }
  DeclareExpiredSuspects(aOthers, aNow);
  return std::exchange(actions_, {});
}

ProbeActions Prober::OnPingRequest(const common::Address& aRequester,
                                   std::uint64_t aSequence,
                                   const common::Address& aSubject)
{
  if (requesters_.size() >= kMaxRequesters) {
    requesters_.erase(requesters_.begin());
  }
  requesters_[++sequence_] = { aRequester, aSequence };
  return { SendPing{ aSubject, sequence_ } };
}

ProbeActions Prober::OnAck(std::uint64_t aSequence)
{
  if (outstandingProbe_.has_value() && outstandingProbe_->sequence_ == aSequence) {
    outstandingProbe_.reset();
  }
  const auto found = requesters_.find(aSequence);
  if (found == requesters_.end()) {
    return {};
  }
  const Requester requester = found->second;
  requesters_.erase(found);
  return { ForwardAck{ requester.address_, requester.sequence_ } };
}

void Prober::ResetAfterPause(common::TimePoint aNow)
{
  if (aNow - std::exchange(lastTick_, aNow) < kPauseThreshold) {
    return;
  }
  outstandingProbe_.reset();
  for (auto& [instance, since] : suspectSince_) {
    since = aNow;
  }
}

void Prober::ProbeIndirectly(const Members& aOthers,
                             common::TimePoint aNow,
                             std::mt19937_64& aRandom)
{
  if (!outstandingProbe_.has_value() || outstandingProbe_->isIndirect_ ||
      aNow < outstandingProbe_->sentAt_ + settings_.directTimeout_) {
    return;
  }
  outstandingProbe_->isIndirect_ = true;
  Members helpers;
  std::copy_if(
    aOthers.begin(), aOthers.end(), std::back_inserter(helpers), [&](const Member& aMember) {
      return aMember.instance_ != outstandingProbe_->member_.instance_;
    });
  std::shuffle(helpers.begin(), helpers.end(), aRandom);
  helpers.resize(std::min(helpers.size(), settings_.indirectProbeCount_));
  for (const Member& helper : helpers) {
    actions_.push_back(SendPingRequest{
      helper.address_, outstandingProbe_->member_.address_, outstandingProbe_->sequence_ });
  }
}

void Prober::ProbeNext(const Members& aOthers, common::TimePoint aNow, std::mt19937_64& aRandom)
{
  if (outstandingProbe_.has_value()) {
    actions_.push_back(MarkSuspect{ outstandingProbe_->member_.instance_ });
    outstandingProbe_.reset();
  }
  if (aOthers.empty()) {
    return;
  }
  if (probeQueue_.empty()) {
    for (const Member& member : aOthers) {
      probeQueue_.push_back(member.instance_);
    }
    std::shuffle(probeQueue_.begin(), probeQueue_.end(), aRandom);
  }
  const std::size_t index = IndexOf(aOthers, probeQueue_.back());
  probeQueue_.pop_back();
  if (index < aOthers.size()) {
    outstandingProbe_ = OutstandingProbe{ aOthers[index], ++sequence_, aNow };
    actions_.push_back(SendPing{ aOthers[index].address_, sequence_ });
  }
}

void Prober::DeclareExpiredSuspects(const Members& aOthers, common::TimePoint aNow)
{
  std::map<common::InstanceId, common::TimePoint> suspects;
  for (const Member& member : aOthers) {
    if (member.status_ != MemberStatus::kSuspect) {
      continue;
    }
    const auto known = suspectSince_.find(member.instance_);
    const common::TimePoint since = known == suspectSince_.end() ? aNow : known->second;
    suspects[member.instance_] = since;
    if (aNow >= since + settings_.suspicionTimeout_) {
      actions_.push_back(DeclareDead{ member.instance_ });
    }
  }
  suspectSince_ = std::move(suspects);
}

} // namespace dandelionstand::peer
