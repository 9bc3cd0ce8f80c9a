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
//! Others are told of the tail only while it is fresh.
constexpr common::Duration kTailAgeMost = 60s;
//! A long poll that is answered later than this past its wait no longer follows the log.
constexpr common::Duration kOverdueRead = 500ms;
//! More is not pushed but fetched by those who lack it.
constexpr std::size_t kPushBytes = std::size_t{ 128 } * 1024;

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
  , start_(aNow)
  , members_{ self_ }
  , floor_(aNow)
  , readBackoff_(0)
  , nextRead_(aNow)
  , nextFetch_(aNow)
  , nextBeat_(aNow)
  , nextDigest_(aNow)
  , nextAsk_(aNow)
  , answers_(kAnswerBurst, kAnswersPerSecond)
{
  nextRead_ += settings_.mode_ == SpreadingMode::kDirect
                 ? Jittered(100ms)
                 : settings_.startDelay_ / 2 + Jittered(settings_.startDelay_);
  nextDigest_ += Jittered(settings_.digest_);
}

SpreadingActions Spreading::Handle(const SpreadingEvent& aEvent, common::TimePoint aNow)
{
  now_ = aNow;
  std::visit([this](const auto& aTyped) { On(aTyped); }, aEvent);
  return std::exchange(actions_, {});
}

VersionFloor::Decision Spreading::MayServe(common::TimePoint aNow)
{
  if (!isUsable_ && !floor_.IsGranted()) {
    return { false, ServeReason::kBehindLogTail };
  }
  return floor_.Decide(position_, aNow);
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
         now_ < *lastReadAt_ + settings_.logWait_ + kOverdueRead;
}

void Spreading::On(const SpreadingTick&)
{
  UpdateReader();
  ReadIfDue();
  if (settings_.mode_ == SpreadingMode::kDirect) {
    return;
  }
  Beat();
  Digest();
  AskWhenSilent();
  FetchIfBehind();
}

void Spreading::On(const MembersKnown& aKnown)
{
  members_ = aKnown.members_;
  hasJoined_ = aKnown.hasJoined_;
}

void Spreading::On(const ReplicaAt& aReplica)
{
  isUsable_ = !aReplica.hasGap_;
  if (aReplica.through_ > position_) {
    position_ = aReplica.through_;
    highest_ = std::max(highest_, position_);
    store_.Clear();
  }
}

void Spreading::On(const SpreadingReceived& aReceived)
{
  if (aReceived.sender_ == self_.instance_) {
    return;
  }
  const wire::SpreadingMessage& message = aReceived.message_;
  const common::Offset before = position_;
  NoteSender(aReceived);
  if (message.has_snapshot()) {
    TakeSnapshot(message.snapshot());
  }
  Records records;
  for (const wire::ConfigRecord& record : message.records()) {
    records.push_back({ common::Offset(record.offset()), record.data() });
  }
  TakeRecords(std::move(records), &aReceived);
  if (message.kind() == wire::PUSH && message.records_size() == 0) {
    ForwardBeat(aReceived);
  }
  if (message.kind() == wire::REPLY) {
    OnReply(message, position_ > before);
  }
  Answer(aReceived);
  FetchIfBehind();
}

void Spreading::NoteSender(const SpreadingReceived& aReceived)
{
  const wire::SpreadingMessage& message = aReceived.message_;
  const common::Offset position(message.position());
  common::Offset& known = positions_[aReceived.sender_];
  known = std::max(known, position);
  const common::Offset floor(message.receiver_floor());
  if (message.serves()) {
    floor_.OnServingPeer(position, floor);
  } else {
    floor_.OnPeerFloor(floor);
  }
  if (position > highest_) {
    highest_ = position;
    highestAt_ = aReceived.senderAddress_;
  }
  if (message.knows_tail()) {
    const common::TimePoint seenAt = now_ - std::chrono::milliseconds(message.tail_age_ms());
    floor_.OnPeerLogTail(common::Offset(message.log_tail()), seenAt);
    NoteTail(common::Offset(message.log_tail()), seenAt);
  }
  if (!message.knows_reader()) {
    return;
  }
  const common::TimePoint seenAt = now_ - std::chrono::milliseconds(message.reader_age_ms());
  readerSeenAt_ = std::max(readerSeenAt_.value_or(seenAt), seenAt);
  const common::InstanceId origin(message.origin());
  const std::size_t index = IndexOf(members_, origin);
  const bool isOfRegion = index < members_.size() && members_[index].region_ == self_.region_;
  if (isOfRegion && RankHash(origin) < RankHash(self_.instance_)) {
    betterReaderAt_ = std::max(betterReaderAt_.value_or(seenAt), seenAt);
  }
}

void Spreading::TakeRecords(Records aRecords, const SpreadingReceived* aFrom)
{
  Records fresh;
  for (platform::Record& record : aRecords) {
    if (record.offset_.Get() != position_.Get() + 1) {
      continue;
    }
    position_ = record.offset_;
    store_.Append(record);
    fresh.push_back(std::move(record));
  }
  highest_ = std::max(highest_, position_);
  if (fresh.empty()) {
    return;
  }
  gapSince_.reset();
  if (aFrom == nullptr) {
    Push(fresh, self_.instance_, common::Address());
  } else if (aFrom->message_.kind() == wire::PUSH) {
    Push(fresh, common::InstanceId(aFrom->message_.origin()), aFrom->senderAddress_);
  } else {
    // What came for repair is fetched by those below that lack it too.
    Push({}, HeadAndStandby(members_, self_.region_).front().instance_, aFrom->senderAddress_);
  }
  actions_.push_back(ApplyRecords{ std::move(fresh) });
}

void Spreading::TakeSnapshot(const wire::ConfigSnapshot& aSnapshot)
{
  const common::Offset through(aSnapshot.through());
  if (through > position_ || !isUsable_) {
    gapSince_.reset();
    actions_.push_back(ApplySnapshot{ through, aSnapshot.data() });
  }
}

void Spreading::Push(const Records& aRecords,
                     const common::InstanceId& aOrigin,
                     const common::Address& aExcept)
{
  if (settings_.mode_ == SpreadingMode::kDirect) {
    return;
  }
  wire::SpreadingMessage message = NewMessage(wire::PUSH);
  message.set_origin(aOrigin.Get());
  if (BytesOf(aRecords) <= kPushBytes) {
    AddRecords(message, aRecords);
  }
  for (const Member& target : TargetsOf(aOrigin)) {
    const bool hasAll = !aRecords.empty() && positions_[target.instance_] >= position_;
    if (target.address_ != aExcept && !hasAll) {
      Send(target.address_, message);
    }
  }
}

void Spreading::Beat()
{
  const bool isTree = settings_.mode_ == SpreadingMode::kTree;
  if (!isTree || !isReader_ || IsSilent() || !IsDue(nextBeat_, settings_.beat_)) {
    return;
  }
  Push({}, self_.instance_, common::Address());
}

void Spreading::ForwardBeat(const SpreadingReceived& aReceived)
{
  const common::InstanceId origin(aReceived.message_.origin());
  const bool isWorthIt =
    readerSeenAt_.has_value() &&
    (!beatForwardedAt_.has_value() || *readerSeenAt_ > *beatForwardedAt_ + settings_.beat_ / 2);
  if (settings_.mode_ == SpreadingMode::kTree && isWorthIt && origin != self_.instance_) {
    beatForwardedAt_ = readerSeenAt_;
    Push({}, origin, aReceived.senderAddress_);
  }
}

wire::SpreadingMessage Spreading::NewMessage(wire::SpreadingKind aKind) const
{
  wire::SpreadingMessage message;
  message.set_kind(aKind);
  message.set_position(position_.Get());
  if (tailSeenAt_.has_value() && now_ < *tailSeenAt_ + kTailAgeMost) {
    message.set_knows_tail(true);
    message.set_log_tail(tail_.Get());
    message.set_tail_age_ms(ToMilliseconds(now_ - *tailSeenAt_));
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

Members Spreading::TargetsOf(const common::InstanceId& aOrigin)
{
  if (settings_.mode_ == SpreadingMode::kGossip) {
    return PickRandom(members_, kGossipFanOut);
  }
  return PushTargets(members_, self_, aOrigin, settings_);
}

Members Spreading::RegionPeers() const
{
  return RankedInRegion(members_, self_.region_);
}

Members Spreading::PickRandom(Members aFrom, std::size_t aCount)
{
  std::erase_if(aFrom, [this](const Member& aMember) {
    return !aMember.IsLive() || aMember.instance_ == self_.instance_;
  });
  std::shuffle(aFrom.begin(), aFrom.end(), random_);
  aFrom.resize(std::min(aFrom.size(), aCount));
  return aFrom;
}

common::Duration Spreading::Jittered(common::Duration aMost)
{
  std::uniform_int_distribution<common::Duration::rep> share(0, aMost.count());
  return common::Duration(share(random_));
}

bool Spreading::IsSilent() const
{
  const std::optional<common::Duration> age = ReaderAge();
  return !age.has_value() || *age > settings_.silence_;
}

bool Spreading::IsDue(common::TimePoint& aNext, common::Duration aInterval)
{
  if (now_ < aNext) {
    return false;
  }
  aNext = now_ + aInterval;
  return true;
}

} // namespace dandelionstand::peer
