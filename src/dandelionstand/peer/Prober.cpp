#include "dandelionstand/peer/Prober.h"

#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

//! A longer time between two ticks means that this process did not run.
constexpr common::Duration kPause = std::chrono::milliseconds(500);
constexpr std::size_t kRequestersMost = 256;

} // namespace

Prober::Prober(ProberSettings aSettings, common::TimePoint aNow)
  : settings_(aSettings)
  , lastTick_(aNow)
  , nextProbe_(aNow)
{
}

ProbeActions Prober::Tick(const Members& aOthers, common::TimePoint aNow, std::mt19937_64& aRandom)
{
  DropAfterPause(aNow);
  ProbeIndirectly(aOthers, aNow, aRandom);
  if (aNow >= nextProbe_) {
    nextProbe_ = aNow + settings_.interval_;
    ProbeNext(aOthers, aNow, aRandom);
  }
  CheckSuspects(aOthers, aNow);
  return std::exchange(actions_, {});
}

ProbeActions Prober::OnPingRequest(const common::Address& aRequester,
                                   std::uint64_t aSequence,
                                   const common::Address& aSubject)
{
  if (requesters_.size() >= kRequestersMost) {
    requesters_.erase(requesters_.begin());
  }
  requesters_[++sequence_] = { aRequester, aSequence };
  return { SendPing{ aSubject, sequence_ } };
}

ProbeActions Prober::OnAck(std::uint64_t aSequence)
{
  if (outstanding_.has_value() && outstanding_->sequence_ == aSequence) {
    outstanding_.reset();
  }
  const auto found = requesters_.find(aSequence);
  if (found == requesters_.end()) {
    return {};
  }
  const Requester requester = found->second;
  requesters_.erase(found);
  return { ForwardAck{ requester.address_, requester.sequence_ } };
}

void Prober::DropAfterPause(common::TimePoint aNow)
{
  if (aNow - std::exchange(lastTick_, aNow) < kPause) {
    return;
  }
  outstanding_.reset();
  for (auto& [instance, since] : suspectSince_) {
    since = aNow;
  }
}

void Prober::ProbeIndirectly(const Members& aOthers,
                             common::TimePoint aNow,
                             std::mt19937_64& aRandom)
{
  if (!outstanding_.has_value() || outstanding_->isIndirect_ ||
      aNow < outstanding_->sentAt_ + settings_.directTimeout_) {
    return;
  }
  outstanding_->isIndirect_ = true;
  Members helpers;
  std::copy_if(
    aOthers.begin(), aOthers.end(), std::back_inserter(helpers), [&](const Member& aMember) {
      return aMember.instance_ != outstanding_->member_.instance_;
    });
  std::shuffle(helpers.begin(), helpers.end(), aRandom);
  helpers.resize(std::min(helpers.size(), settings_.indirectProbes_));
  for (const Member& helper : helpers) {
    actions_.push_back(
      SendPingRequest{ helper.address_, outstanding_->member_.address_, outstanding_->sequence_ });
  }
}

void Prober::ProbeNext(const Members& aOthers, common::TimePoint aNow, std::mt19937_64& aRandom)
{
  if (outstanding_.has_value()) {
    actions_.push_back(Suspect{ outstanding_->member_.instance_ });
    outstanding_.reset();
  }
  if (aOthers.empty()) {
    return;
  }
  if (round_.empty()) {
    for (const Member& member : aOthers) {
      round_.push_back(member.instance_);
    }
    std::shuffle(round_.begin(), round_.end(), aRandom);
  }
  const std::size_t index = IndexOf(aOthers, round_.back());
  round_.pop_back();
  if (index < aOthers.size()) {
    outstanding_ = Outstanding{ aOthers[index], ++sequence_, aNow };
    actions_.push_back(SendPing{ aOthers[index].address_, sequence_ });
  }
}

void Prober::CheckSuspects(const Members& aOthers, common::TimePoint aNow)
{
  std::map<common::InstanceId, common::TimePoint> suspects;
  for (const Member& member : aOthers) {
    if (member.status_ != MemberStatus::kSuspect) {
      continue;
    }
    const auto known = suspectSince_.find(member.instance_);
    const common::TimePoint since = known == suspectSince_.end() ? aNow : known->second;
    suspects[member.instance_] = since;
    if (aNow >= since + settings_.suspicion_) {
      actions_.push_back(DeclareDead{ member.instance_ });
    }
  }
  suspectSince_ = std::move(suspects);
}

} // namespace dandelionstand::peer
