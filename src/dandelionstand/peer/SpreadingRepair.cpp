// The part of Spreading that finds and mends what the pushes missed.
#include "dandelionstand/peer/Rank.h"
#include "dandelionstand/peer/Spreading.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

constexpr std::uint32_t kRetryAfterMs = 300;
constexpr common::Duration kRegionPatience = std::chrono::milliseconds(500);

} // namespace

void Spreading::Digest()
{
  if (!IsDue(nextDigest_, settings_.digest_)) {
    return;
  }
  const bool isGossip = settings_.mode_ == SpreadingMode::kGossip;
  for (const Member& peer : PickRandom(isGossip ? members_ : RegionPeers(), 1)) {
    Send(peer.address_, NewMessage(wire::DIGEST_OF_CONFIG));
  }
}

void Spreading::AskWhenSilent()
{
  if (!IsSilent() || now_ < nextAsk_) {
    return;
  }
  nextAsk_ = now_ + settings_.beat_ / 2 + Jittered(settings_.beat_ / 2);
  Members asked = HeadAndStandby(members_, self_.region_);
  const Members peers = PickRandom(RegionPeers(), 1);
  asked.insert(asked.end(), peers.begin(), peers.end());
  common::Duration delay{};
  const bool isStandIn = StandInDelay(members_, self_, settings_, delay);
  const common::TimePoint since = std::max(start_, readerSeenAt_.value_or(start_));
  // Other regions are asked only if the stand-ins of this one had their time.
  if (isStandIn && now_ > since + delay + kRegionPatience) {
    Members others = members_;
    std::erase_if(others,
                  [this](const Member& aMember) { return aMember.region_ == self_.region_; });
    const Members other = PickRandom(std::move(others), 1);
    asked.insert(asked.end(), other.begin(), other.end());
  }
  for (const Member& member : asked) {
    if (member.instance_ != self_.instance_) {
      Send(member.address_, NewMessage(wire::DIGEST_OF_CONFIG));
    }
  }
}

void Spreading::FetchIfBehind()
{
  const bool isBehind = highest_ > position_ || !isUsable_;
  const bool isWaiting = fetchSentAt_.has_value() && now_ < *fetchSentAt_ + settings_.fetchTimeout_;
  if (!isBehind || isWaiting || now_ < nextFetch_ || settings_.mode_ == SpreadingMode::kDirect) {
    return;
  }
  if (!fetchSentAt_.has_value() && !highestAt_.Get().empty()) {
    Fetch(highestAt_);
    return;
  }
  // The one who was asked first does not answer.
  for (const Member& peer : PickRandom(RegionPeers(), 1)) {
    Fetch(peer.address_);
  }
}

void Spreading::OnReply(const wire::SpreadingMessage& aReply, bool aBroughtNews)
{
  if (!fetchSentAt_.has_value()) {
    return;
  }
  fetchSentAt_.reset();
  if (aBroughtNews) {
    return;
  }
  // Another peer is asked next, after a random time.
  highestAt_ = common::Address();
  nextFetch_ = now_ + Jittered(settings_.fetchTimeout_) +
               Jittered(std::chrono::milliseconds(aReply.retry_after_ms()));
}

void Spreading::Fetch(const common::Address& aFrom)
{
  fetchSentAt_ = now_;
  Send(aFrom, NewMessage(wire::FETCH));
}

void Spreading::Answer(const SpreadingReceived& aReceived)
{
  const wire::SpreadingMessage& message = aReceived.message_;
  const bool isQuestion = message.kind() == wire::FETCH || message.kind() == wire::DIGEST_OF_CONFIG;
  if (!isQuestion) {
    return;
  }
  const common::Offset position(message.position());
  const bool isAhead = position_ > position;
  const bool isTailNews =
    !IsSilent() && (!message.knows_tail() ||
                    std::chrono::milliseconds(message.tail_age_ms()) > settings_.silence_);
  if (message.kind() == wire::DIGEST_OF_CONFIG && !isAhead && !isTailNews && message.serves()) {
    return;
  }
  wire::SpreadingMessage reply = NewMessage(wire::REPLY);
  reply.set_receiver_floor(positions_[aReceived.sender_].Get());
  if (isAhead && !answers_.TryConsume(now_)) {
    reply.set_retry_after_ms(kRetryAfterMs);
  } else if (isAhead && store_.Covers(position)) {
    AddRecords(reply, store_.After(position));
  } else if (isAhead && isUsable_) {
    actions_.push_back(SendSnapshot{ aReceived.senderAddress_, std::move(reply) });
    return;
  }
  Send(aReceived.senderAddress_, std::move(reply));
}

} // namespace dandelionstand::peer
