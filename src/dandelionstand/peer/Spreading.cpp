#include "dandelionstand/peer/Spreading.h"

#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

using namespace std::chrono_literals;

constexpr double kAnswerBurst = 32;
constexpr double kAnswersPerSecond = 64;
constexpr std::size_t kGossipFanOut = 3;
//! Age after which a log tail is no longer passed on to other daemons.
constexpr common::Duration kMaxTailAge = 60s;
//! If a long poll is answered later than this after its timeout, the daemon no longer counts as
//! following the log.
constexpr common::Duration kFollowingMargin = 500ms;
//! Larger batches are pushed without their records; receivers that lack them fetch them.
constexpr std::size_t kMaxPushBytes = std::size_t{ 128 } * 1024;

std::uint32_t ToMilliseconds(common::Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

std::size_t BytesOf(const Records& aRecords)
{
  std::size_t bytes = 0;
  for (const platform::Record& record : aRecords) {
    bytes += record.data_.size();
  }
  return bytes;
}

} // namespace

Spreading::Spreading(Member aSelf,
                     SpreadingSettings aSettings,
                     common::TimePoint aNow,
                     std::mt19937_64 aRandom)
  : self_(std::move(aSelf))
  , settings_(aSettings)
  , random_(aRandom)
  , now_(aNow)
  , startedAt_(aNow)
  , members_{ self_ }
  , versionFloor_(aNow)
  , readBackoff_(0)
  , nextReadAt_(aNow)
  , nextFetchAt_(aNow)
  , nextHeartbeatAt_(aNow)
  , nextDigestAt_(aNow)
  , nextTimeoutDigestAt_(aNow)
  , answerLimiter_(kAnswerBurst, kAnswersPerSecond)
{
  nextReadAt_ += settings_.mode_ == SpreadingMode::kDirect
                   ? RandomDelay(100ms)
                   : settings_.firstReadDelay_ / 2 + RandomDelay(settings_.firstReadDelay_);
  nextDigestAt_ += RandomDelay(settings_.digestInterval_);
}

SpreadingActions Spreading::Handle(const SpreadingEvent& aEvent, common::TimePoint aNow)
{
  now_ = aNow;
  std::visit([this](const auto& aTyped) { On(aTyped); }, aEvent);
  return std::exchange(actions_, {});
}

VersionFloor::Decision Spreading::MayServe(common::TimePoint aNow)
{
  if (!isReplicaComplete_ && !versionFloor_.IsGranted()) {
    return { false, ServeReason::kBehindLogTail };
  }
  return versionFloor_.Decide(position_, aNow);
}

std::optional<common::Duration> Spreading::ReaderAge() const
{
  if (IsFollowingLog()) {
    return common::Duration(0);
  }
  if (!readerSeenAt_.has_value()) {
    return std::nullopt;
  }
  return now_ - *readerSeenAt_;
}

bool Spreading::IsFollowingLog() const
{
  return isReader_ && lastReadAt_.has_value() &&
         now_ < *lastReadAt_ + settings_.longPollTimeout_ + kFollowingMargin;
}

void Spreading::On(const SpreadingTick&)
{
  UpdateReaderRole();
  ReadIfDue();
  if (settings_.mode_ == SpreadingMode::kDirect) {
    return;
  }
  SendReaderHeartbeatIfDue();
  SendDigestIfDue();
  SendDigestsOnReaderTimeout();
  FetchIfBehind();
}

void Spreading::On(const MembersUpdated& aUpdated)
{
  members_ = aUpdated.members_;
  hasJoined_ = aUpdated.hasJoined_;
}

void Spreading::On(const ReplicaUpdated& aReplica)
{
  isReplicaComplete_ = !aReplica.hasGap_;
  if (aReplica.lastOffset_ > position_) {
    position_ = aReplica.lastOffset_;
    highestPosition_ = std::max(highestPosition_, position_);
    recordStore_.Clear();
  }
}

void Spreading::On(const SpreadingMessageReceived& aReceived)
{
  if (aReceived.sender_ == self_.instance_) {
    return;
  }
  const wire::SpreadingMessage& message = aReceived.message_;
  const common::Offset oldPosition = position_;
  UpdateFromSender(aReceived);
  if (message.has_snapshot()) {
    AcceptSnapshot(message.snapshot());
  }
  Records records;
  for (const wire::ConfigRecord& record : message.records()) {
    records.push_back({ common::Offset(record.offset()), record.data() });
  }
  AcceptRecords(std::move(records), &aReceived);
  if (message.kind() == wire::PUSH && message.records_size() == 0) {
    ForwardReaderHeartbeat(aReceived);
  }
  if (message.kind() == wire::REPLY) {
    OnReply(message, position_ > oldPosition);
  }
  AnswerRequest(aReceived);
  FetchIfBehind();
}

void Spreading::UpdateFromSender(const SpreadingMessageReceived& aReceived)
{
  const wire::SpreadingMessage& message = aReceived.message_;
  const common::Offset position(message.position());
  common::Offset& peerPosition = peerPositions_[aReceived.sender_];
  peerPosition = std::max(peerPosition, position);
  const common::Offset floor(message.receiver_floor());
  if (message.serves()) {
    versionFloor_.OnServingPeer(position, floor);
  } else {
    versionFloor_.OnPeerFloor(floor);
  }
  if (position > highestPosition_) {
    highestPosition_ = position;
    highestPositionPeer_ = aReceived.senderAddress_;
  }
  if (message.knows_tail()) {
    const common::TimePoint seenAt = now_ - std::chrono::milliseconds(message.tail_age_ms());
    versionFloor_.OnPeerLogTail(common::Offset(message.log_tail()), seenAt);
    UpdateLogTail(common::Offset(message.log_tail()), seenAt);
  }
  if (!message.knows_reader()) {
    return;
  }
  const common::TimePoint seenAt = now_ - std::chrono::milliseconds(message.reader_age_ms());
  readerSeenAt_ = std::max(readerSeenAt_.value_or(seenAt), seenAt);
  const common::InstanceId origin(message.origin());
  const std::size_t index = IndexOf(members_, origin);
  const bool isInRegion = index < members_.size() && members_[index].region_ == self_.region_;
  if (isInRegion && RankHash(origin) < RankHash(self_.instance_)) {
    betterReaderSeenAt_ = std::max(betterReaderSeenAt_.value_or(seenAt), seenAt);
  }
}

void Spreading::AcceptRecords(Records aRecords, const SpreadingMessageReceived* aSource)
{
  Records accepted;
  for (platform::Record& record : aRecords) {
    if (record.offset_.Get() != position_.Get() + 1) {
      continue;
    }
    position_ = record.offset_;
    recordStore_.Append(record);
    accepted.push_back(std::move(record));
  }
  highestPosition_ = std::max(highestPosition_, position_);
  if (accepted.empty()) {
    return;
  }
  gapSince_.reset();
  if (aSource == nullptr) {
    Push(accepted, self_.instance_, common::Address());
  } else if (aSource->message_.kind() == wire::PUSH) {
    Push(accepted, common::InstanceId(aSource->message_.origin()), aSource->senderAddress_);
  } else {
    // A repair reply is not forwarded. The empty push carries the new position, so that children in
    // the tree which also lack the records fetch them.
    Push({}, HeadAndStandby(members_, self_.region_).front().instance_, aSource->senderAddress_);
  }
  actions_.push_back(ApplyRecords{ std::move(accepted) });
}

void Spreading::AcceptSnapshot(const wire::ConfigSnapshot& aSnapshot)
{
  const common::Offset lastOffset(aSnapshot.through());
  if (lastOffset > position_ || !isReplicaComplete_) {
    gapSince_.reset();
    actions_.push_back(ApplySnapshot{ lastOffset, aSnapshot.data() });
  }
}

void Spreading::Push(const Records& aRecords,
                     const common::InstanceId& aOrigin,
                     const common::Address& aExcluded)
{
  if (settings_.mode_ == SpreadingMode::kDirect) {
    return;
  }
  wire::SpreadingMessage message = NewMessage(wire::PUSH);
  message.set_origin(aOrigin.Get());
  if (BytesOf(aRecords) <= kMaxPushBytes) {
    AddRecords(message, aRecords);
  }
  for (const Member& receiver : SelectPushReceivers(aOrigin)) {
    const bool hasAll = !aRecords.empty() && peerPositions_[receiver.instance_] >= position_;
    if (receiver.address_ != aExcluded && !hasAll) {
      Send(receiver.address_, message);
    }
  }
}

void Spreading::SendReaderHeartbeatIfDue()
{
  const bool isTree = settings_.mode_ == SpreadingMode::kTree;
  if (!isTree || !isReader_ || HasReaderTimedOut() ||
      !IsDue(nextHeartbeatAt_, settings_.readerHeartbeatInterval_)) {
    return;
  }
  Push({}, self_.instance_, common::Address());
}

void Spreading::ForwardReaderHeartbeat(const SpreadingMessageReceived& aReceived)
{
  const common::InstanceId origin(aReceived.message_.origin());
  const bool isNew =
    readerSeenAt_.has_value() &&
    (!forwardedReaderSeenAt_.has_value() ||
     *readerSeenAt_ > *forwardedReaderSeenAt_ + settings_.readerHeartbeatInterval_ / 2);
  // Of two readers with the same phase, the heartbeats of the better-ranked one must get through:
  // the other one stops reading only once it receives them.
  const bool isBetter = RankHash(origin) < RankHash(forwardedOrigin_);
  if (settings_.mode_ == SpreadingMode::kTree && (isNew || isBetter) && origin != self_.instance_) {
    forwardedReaderSeenAt_ = readerSeenAt_;
    forwardedOrigin_ = origin;
    Push({}, origin, aReceived.senderAddress_);
  }
}

wire::SpreadingMessage Spreading::NewMessage(wire::SpreadingKind aKind) const
{
  wire::SpreadingMessage message;
  message.set_kind(aKind);
  message.set_position(position_.Get());
  if (logTailSeenAt_.has_value() && now_ < *logTailSeenAt_ + kMaxTailAge) {
    message.set_knows_tail(true);
    message.set_log_tail(logTail_.Get());
    message.set_tail_age_ms(ToMilliseconds(now_ - *logTailSeenAt_));
  }
  const std::optional<common::Duration> readerAge = ReaderAge();
  if (readerAge.has_value()) {
    message.set_knows_reader(true);
    message.set_reader_age_ms(ToMilliseconds(*readerAge));
  }
  return message;
}

void Spreading::Send(const common::Address& aTo, wire::SpreadingMessage aMessage)
{
  aMessage.set_serves(MayServe(now_).mayServe_);
  actions_.push_back(SendSpreading{ aTo, std::move(aMessage) });
}

Members Spreading::SelectPushReceivers(const common::InstanceId& aOrigin)
{
  if (settings_.mode_ == SpreadingMode::kGossip) {
    return PickRandom(members_, kGossipFanOut);
  }
  return PushReceivers(members_, self_, aOrigin, settings_);
}

Members Spreading::RegionPeers() const
{
  return RankedInRegion(members_, self_.region_);
}

Members Spreading::PickRandom(Members aCandidates, std::size_t aCount)
{
  std::erase_if(aCandidates, [this](const Member& aMember) {
    return !aMember.IsLive() || aMember.instance_ == self_.instance_;
  });
  std::shuffle(aCandidates.begin(), aCandidates.end(), random_);
  aCandidates.resize(std::min(aCandidates.size(), aCount));
  return aCandidates;
}

common::Duration Spreading::RandomDelay(common::Duration aMax)
{
  std::uniform_int_distribution<common::Duration::rep> delay(0, aMax.count());
  return common::Duration(delay(random_));
}

bool Spreading::HasReaderTimedOut() const
{
  const std::optional<common::Duration> age = ReaderAge();
  return !age.has_value() || *age > settings_.readerTimeout_;
}

bool Spreading::IsDue(common::TimePoint& aNextAt, common::Duration aInterval)
{
  if (now_ < aNextAt) {
    return false;
  }
  aNextAt = now_ + aInterval;
  return true;
}

} // namespace dandelionstand::peer
