// The part of Spreading that detects and fetches records which the pushes did not deliver.
#include "dandelionstand/peer/Rank.h"
#include "dandelionstand/peer/Spreading.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

constexpr std::uint32_t kRetryAfterMs = 300;
//! Extra time for the backup readers of this region to take over before another region is queried.
constexpr common::Duration kOtherRegionDelay = std::chrono::milliseconds(500);

} // namespace

void Spreading::SendDigestIfDue()
{
  if (!IsDue(nextDigestAt_, settings_.digestInterval_)) {
    return;
  }
  const bool isGossip = settings_.mode_ == SpreadingMode::kGossip;
  for (const Member& peer : PickRandom(isGossip ? members_ : RegionPeers(), 1)) {
    Send(peer.address_, NewMessage(wire::DIGEST_OF_CONFIG));
  }
}

void Spreading::SendDigestsOnReaderTimeout()
{
  if (!HasReaderTimedOut() || now_ < nextTimeoutDigestAt_) {
    return;
  }
  nextTimeoutDigestAt_ = now_ + settings_.readerHeartbeatInterval_ / 2 +
                         RandomDelay(settings_.readerHeartbeatInterval_ / 2);
  Members receivers = HeadAndStandby(members_, self_.region_);
  const Members peers = PickRandom(RegionPeers(), 1);
  receivers.insert(receivers.end(), peers.begin(), peers.end());
  common::Duration delay{};
  const bool isBackupReader = TakeoverDelay(members_, self_, settings_, delay);
  const common::TimePoint lastSignAt = std::max(startedAt_, readerSeenAt_.value_or(startedAt_));
  // Only backup readers query another region, and only after they had time to take over.
  if (isBackupReader && now_ > lastSignAt + delay + kOtherRegionDelay) {
    Members others = members_;
    std::erase_if(others,
                  [this](const Member& aMember) { return aMember.region_ == self_.region_; });
    const Members other = PickRandom(std::move(others), 1);
    receivers.insert(receivers.end(), other.begin(), other.end());
  }
  for (const Member& member : receivers) {
    if (member.instance_ != self_.instance_) {
      Send(member.address_, NewMessage(wire::DIGEST_OF_CONFIG));
    }
  }
}

void Spreading::FetchIfBehind()
{
  const bool isBehind = highestPosition_ > position_ || !isReplicaComplete_;
  const bool isFetchPending =
    fetchSentAt_.has_value() && now_ < *fetchSentAt_ + settings_.fetchTimeout_;
  if (!isBehind || isFetchPending || now_ < nextFetchAt_ ||
      settings_.mode_ == SpreadingMode::kDirect) {
    return;
  }
  if (!fetchSentAt_.has_value() && !highestPositionPeer_.Get().empty()) {
    SendFetch(highestPositionPeer_);
    return;
  }
  // The previous fetch was not answered, or no peer is known to be ahead.
  for (const Member& peer : PickRandom(RegionPeers(), 1)) {
    SendFetch(peer.address_);
  }
}

void Spreading::OnReply(const wire::SpreadingMessage& aReply, bool aHasAdvanced)
{
  if (!fetchSentAt_.has_value()) {
    return;
  }
  fetchSentAt_.reset();
  if (aHasAdvanced) {
    return;
  }
  // The next fetch goes to a random peer, after a random delay.
  highestPositionPeer_ = common::Address();
  nextFetchAt_ = now_ + RandomDelay(settings_.fetchTimeout_) +
                 RandomDelay(std::chrono::milliseconds(aReply.retry_after_ms()));
}

void Spreading::SendFetch(const common::Address& aPeer)
{
  fetchSentAt_ = now_;
  Send(aPeer, NewMessage(wire::FETCH));
}

void Spreading::AnswerRequest(const SpreadingMessageReceived& aReceived)
{
  const wire::SpreadingMessage& message = aReceived.message_;
  const bool isRequest = message.kind() == wire::FETCH || message.kind() == wire::DIGEST_OF_CONFIG;
  if (!isRequest) {
    return;
  }
  const common::Offset position(message.position());
  const bool isAhead = position_ > position;
  const bool hasFresherTail =
    !HasReaderTimedOut() &&
    (!message.knows_tail() ||
     std::chrono::milliseconds(message.tail_age_ms()) > settings_.readerTimeout_);
  if (message.kind() == wire::DIGEST_OF_CONFIG && !isAhead && !hasFresherTail && message.serves()) {
    return;
  }
  wire::SpreadingMessage reply = NewMessage(wire::REPLY);
  reply.set_receiver_floor(peerPositions_[aReceived.sender_].Get());
  if (isAhead && !answerLimiter_.TryConsume(now_)) {
    reply.set_retry_after_ms(kRetryAfterMs);
  } else if (isAhead && recordStore_.Covers(position)) {
    AddRecords(reply, recordStore_.RecordsAfter(position));
  } else if (isAhead && isReplicaComplete_) {
    actions_.push_back(SendSnapshot{ aReceived.senderAddress_, std::move(reply) });
    return;
  }
  Send(aReceived.senderAddress_, std::move(reply));
}

} // namespace dandelionstand::peer
