#include "dandelionstand/caller/Claims.h"

#include "dandelionstand/caller/generated/claims.pb.h"

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace dandelionstand::caller {

namespace {

constexpr std::size_t kHashBytes = 16;
constexpr std::size_t kMostClaimsInBatch = 1000;
constexpr common::Duration kFollowWait = std::chrono::seconds(2);
//! Longer than a probing read takes to fail.
constexpr common::Duration kAwayFor = std::chrono::seconds(3);
constexpr common::Duration kRetryInterval = std::chrono::milliseconds(200);

void AppendHash(std::string& aText, const KeyHash& aKey)
{
  std::array<char, kHashBytes> bytes{};
  std::memcpy(bytes.data(), &aKey.high_, sizeof(aKey.high_));
  std::memcpy(bytes.data() + sizeof(aKey.high_), &aKey.low_, sizeof(aKey.low_));
  aText.append(bytes.data(), bytes.size());
}

KeyHash ReadHash(const std::string& aText, std::size_t aIndex)
{
  KeyHash key;
  const char* bytes = aText.data() + aIndex * kHashBytes;
  std::memcpy(&key.high_, bytes, sizeof(key.high_));
  std::memcpy(&key.low_, bytes + sizeof(key.high_), sizeof(key.low_));
  return key;
}

} // namespace

KeyHash HashKey(const common::ServiceName& aService, const std::string& aKey)
{
  const std::string text = aService.Get() + "\n" + aKey;
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return { hash.high64, hash.low64 };
}

Claims::Claims(ClaimSettings aSettings)
  : settings_(std::move(aSettings))
  , interval_(settings_.appendInterval_)
{
}

ClaimActions Claims::Claim(ClaimNumber aNumber,
                           const KeyHash& aKey,
                           common::TimePoint aNow,
                           std::uint64_t aWallMs)
{
  ClaimActions actions;
  followUntil_ = aNow + settings_.followFor_;
  if (IsLogAway(aNow)) {
    actions.push_back(ClaimRefused{ aNumber, "log-away" });
    Drive(aNow, aWallMs, actions);
    return actions;
  }
  waiting_[aNumber] = { aKey, aNow + settings_.timeout_ };
  Drive(aNow, aWallMs, actions);
  return actions;
}

ClaimActions Claims::Release(ClaimNumber aNumber, common::TimePoint aNow, std::uint64_t aWallMs)
{
  ClaimActions actions;
  releases_.push_back(aNumber);
  followUntil_ = aNow + settings_.followFor_;
  Drive(aNow, aWallMs, actions);
  return actions;
}

ClaimActions Claims::OnAppended(std::uint64_t aGeneration,
                                const platform::AppendResult& aResult,
                                common::TimePoint aNow,
                                std::uint64_t aWallMs)
{
  ClaimActions actions;
  if (!isAppending_ || aGeneration != appendGeneration_) {
    return actions;
  }
  isAppending_ = false;
  switch (aResult.status_) {
    case platform::LogStatus::kOk:
      interval_ = std::max(settings_.appendInterval_, interval_ * 3 / 4);
      // Without a record in between, the own one needs no reading.
      if (isSynced_ && aResult.offset_ == next_ && !batch_.empty()) {
        TakeRecord({ aResult.offset_, batch_ }, aWallMs, actions);
      }
      break;
    case platform::LogStatus::kOverloaded:
      interval_ = std::min(settings_.appendIntervalAtMost_, interval_ * 2);
      nextAppend_ = aNow + interval_;
      break;
    case platform::LogStatus::kRejected:
      batch_.clear();
      for (const auto& [number, claim] : sent_) {
        if (!claim.isAbandoned_) {
          actions.push_back(ClaimRefused{ number, "log-rejected" });
        }
      }
      sent_.clear();
      break;
    default:
      // The record may stand in the stream: the same batch is appended again only after a read
      // that does not show it, and counts once if both arrive.
      isAppendUnsettled_ = true;
      LogFailed(aNow, actions);
      break;
  }
  Drive(aNow, aWallMs, actions);
  return actions;
}

ClaimActions Claims::OnRead(std::uint64_t aGeneration,
                            const platform::ReadResult& aResult,
                            common::TimePoint aNow,
                            std::uint64_t aWallMs)
{
  ClaimActions actions;
  if (!isReading_ || aGeneration != readGeneration_) {
    return actions;
  }
  isReading_ = false;
  const bool isAnswered =
    aResult.status_ == platform::LogStatus::kOk || aResult.status_ == platform::LogStatus::kGap;
  if (!isAnswered) {
    nextRead_ = aNow + kRetryInterval;
    if (aResult.status_ == platform::LogStatus::kUnavailable) {
      LogFailed(aNow, actions);
    }
    Drive(aNow, aWallMs, actions);
    return actions;
  }
  logAwayUntil_ = aNow;
  if (aResult.status_ == platform::LogStatus::kGap) {
    isSynced_ = false;
    beganAtGap_ = true;
    next_ = aResult.firstOffset_;
  } else if (aResult.endOffset_ < readFrom_) {
    // The stream is shorter than what was read of it: its records are lost.
    LoseWindow(aWallMs);
    next_ = common::Offset(1);
  } else {
    for (const platform::Record& record : aResult.records_) {
      TakeRecord(record, aWallMs, actions);
    }
    if (next_ >= aResult.endOffset_) {
      ReachedEnd(aWallMs);
    }
  }
  Drive(aNow, aWallMs, actions);
  return actions;
}

ClaimActions Claims::Tick(common::TimePoint aNow, std::uint64_t aWallMs)
{
  ClaimActions actions;
  Expire(aWallMs);
  Drive(aNow, aWallMs, actions);
  return actions;
}

bool Claims::IsComplete(std::uint64_t aWallMs) const
{
  return aWallMs >= incompleteUntilMs_;
}

void Claims::LoseWindow(std::uint64_t aWallMs)
{
  isSynced_ = false;
  incompleteUntilMs_ = aWallMs + static_cast<std::uint64_t>(settings_.window_.count());
}

void Claims::ReachedEnd(std::uint64_t aWallMs)
{
  // After a gap without any record left, only a stream that was not followed may have been idle.
  const auto window = static_cast<std::uint64_t>(settings_.window_.count());
  if (beganAtGap_ && lastReadMs_ > 0 && lastReadMs_ + window > aWallMs) {
    LoseWindow(aWallMs);
  }
  beganAtGap_ = false;
  isSynced_ = true;
  isAppendUnsettled_ = false;
  lastReadMs_ = aWallMs;
}

void Claims::LogFailed(common::TimePoint aNow, ClaimActions& aActions)
{
  logAwayUntil_ = aNow + kAwayFor;
  nextAppend_ = aNow + kRetryInterval;
  RefuseWaiting("log-away", aActions);
}

void Claims::GiveUpSilentRequests(common::TimePoint aNow, ClaimActions& aActions)
{
  if (isReading_ && aNow >= readUntil_) {
    isReading_ = false;
    LogFailed(aNow, aActions);
  }
  if (isAppending_ && aNow >= appendUntil_) {
    isAppending_ = false;
    isAppendUnsettled_ = true;
    LogFailed(aNow, aActions);
  }
}

void Claims::Drive(common::TimePoint aNow, std::uint64_t aWallMs, ClaimActions& aActions)
{
  GiveUpSilentRequests(aNow, aActions);
  RefuseLate(aNow, aActions);
  if (isSynced_ && !IsComplete(aWallMs)) {
    RefuseWaiting("claims-window-lost", aActions);
  }
  StartRead(aNow, aActions);
  StartAppend(aNow, aWallMs, aActions);
}

void Claims::RefuseLate(common::TimePoint aNow, ClaimActions& aActions)
{
  for (auto claim = waiting_.begin(); claim != waiting_.end();) {
    if (claim->second.deadline_ > aNow) {
      ++claim;
      continue;
    }
    aActions.push_back(ClaimRefused{ claim->first, "claim-timeout" });
    claim = waiting_.erase(claim);
  }
  for (auto& [number, claim] : sent_) {
    if (!claim.isAbandoned_ && claim.deadline_ <= aNow) {
      claim.isAbandoned_ = true;
      aActions.push_back(ClaimRefused{ number, "claim-timeout" });
    }
  }
}

void Claims::RefuseWaiting(const std::string& aReason, ClaimActions& aActions)
{
  for (const auto& entry : waiting_) {
    aActions.push_back(ClaimRefused{ entry.first, aReason });
  }
  waiting_.clear();
}

void Claims::StartRead(common::TimePoint aNow, ClaimActions& aActions)
{
  const bool isWanted = Pending() > 0 || !releases_.empty() || aNow < followUntil_;
  if (isReading_ || !isWanted || aNow < nextRead_) {
    return;
  }
  isReading_ = true;
  // Before the end is reached, and to settle a lost answer, there is nothing to wait for.
  const bool mayWait = isSynced_ && !isAppendUnsettled_ && !IsLogAway(aNow);
  const common::Duration wait = mayWait ? kFollowWait : common::Duration(0);
  readFrom_ = next_;
  readUntil_ = aNow + wait + settings_.timeout_;
  aActions.push_back(ReadClaims{ ++readGeneration_, next_, wait });
}

void Claims::StartAppend(common::TimePoint aNow, std::uint64_t aWallMs, ClaimActions& aActions)
{
  const bool canAppend = isSynced_ && !isAppending_ && !isAppendUnsettled_ && !IsLogAway(aNow);
  if (!canAppend || aNow < nextAppend_) {
    return;
  }
  if (batch_.empty()) {
    // A key that is known to be taken needs no record.
    for (auto claim = waiting_.begin(); claim != waiting_.end();) {
      const auto known = entries_.find(claim->second.key_);
      if (known == entries_.end()) {
        ++claim;
        continue;
      }
      aActions.push_back(ClaimLost{ claim->first, known->second.holder_ });
      claim = waiting_.erase(claim);
    }
    if (waiting_.empty() && releases_.empty()) {
      return;
    }
    batch_ = MakeBatch(aWallMs);
  }
  isAppending_ = true;
  nextAppend_ = aNow + interval_;
  appendUntil_ = aNow + settings_.timeout_;
  aActions.push_back(AppendClaims{ ++appendGeneration_, batch_ });
}

std::string Claims::MakeBatch(std::uint64_t aWallMs)
{
  wire::ClaimBatch batch;
  batch.set_instance(settings_.self_.instance_.Get());
  batch.set_incarnation(settings_.self_.incarnation_.Get());
  batch.set_address(settings_.self_.address_.Get());
  batch.set_time_ms(aWallMs);
  batch.set_read_up_to(next_.Get());
  batch.set_newest_ms(newestMs_);
  while (!waiting_.empty() && sent_.size() < kMostClaimsInBatch) {
    const auto first = waiting_.begin();
    if (sent_.empty() || batch.key_hashes().empty()) {
      batch.set_first_number(first->first.Get());
    }
    // The numbers of a batch follow one another, so a number that was refused ends it.
    const std::uint64_t expected = batch.first_number() + batch.key_hashes().size() / kHashBytes;
    if (first->first.Get() != expected) {
      break;
    }
    AppendHash(*batch.mutable_key_hashes(), first->second.key_);
    sent_.insert(*first);
    waiting_.erase(first);
  }
  for (const ClaimNumber number : releases_) {
    batch.add_released(number.Get());
  }
  releases_.clear();
  return batch.SerializeAsString();
}

void Claims::TakeRecord(const platform::Record& aRecord,
                        std::uint64_t aWallMs,
                        ClaimActions& aActions)
{
  if (aRecord.offset_ < next_) {
    return;
  }
  next_ = common::Offset(aRecord.offset_.Get() + 1);
  wire::ClaimBatch batch;
  if (!batch.ParseFromString(aRecord.data_) || batch.key_hashes().size() % kHashBytes != 0) {
    ++malformed_;
    return;
  }
  if (beganAtGap_) {
    TakeFirstRecord(batch, aRecord.offset_, aWallMs);
  }
  newestMs_ = std::max(newestMs_, static_cast<std::uint64_t>(batch.time_ms()));
  ClaimHolder holder{ common::InstanceId(batch.instance()),
                      common::Incarnation(batch.incarnation()),
                      common::Address(batch.address()),
                      ClaimNumber(batch.first_number()) };
  if (IsOwn(holder) && aRecord.data_ == batch_) {
    batch_.clear();
    isAppendUnsettled_ = false;
  }
  for (const std::uint64_t number : batch.released()) {
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
      const ClaimHolder& known = entry->second.holder_;
      if (known.incarnation_ == holder.incarnation_ && known.number_.Get() == number) {
        entries_.erase(entry);
        break;
      }
    }
  }
  if (IsRepeated(batch)) {
    return;
  }
  const std::size_t count = batch.key_hashes().size() / kHashBytes;
  for (std::size_t i = 0; i < count; ++i) {
    holder.number_ = ClaimNumber(batch.first_number() + i);
    TakeClaim(ReadHash(batch.key_hashes(), i), holder, batch.time_ms(), aActions);
  }
}

void Claims::TakeClaim(const KeyHash& aKey,
                       const ClaimHolder& aHolder,
                       std::uint64_t aTimeMs,
                       ClaimActions& aActions)
{
  Entry& entry = entries_[aKey];
  const bool isFree = entry.holder_ == ClaimHolder{};
  const bool isExpired =
    aTimeMs > entry.timeMs_ + static_cast<std::uint64_t>(settings_.window_.count());
  if (isFree || isExpired) {
    entry = { aHolder, aTimeMs };
  }
  if (IsOwn(aHolder)) {
    Settle(aHolder.number_, entry.holder_, aActions);
  }
}

void Claims::Settle(ClaimNumber aNumber, const ClaimHolder& aHolder, ClaimActions& aActions)
{
  const auto found = sent_.find(aNumber);
  if (found == sent_.end()) {
    return;
  }
  const bool isWon = IsOwn(aHolder) && aHolder.number_ == aNumber;
  if (found->second.isAbandoned_) {
    if (isWon) {
      releases_.push_back(aNumber);
    }
  } else if (isWon) {
    aActions.push_back(ClaimWon{ aNumber });
  } else {
    aActions.push_back(ClaimLost{ aNumber, aHolder });
  }
  sent_.erase(found);
}

void Claims::TakeFirstRecord(const wire::ClaimBatch& aBatch,
                             common::Offset aOffset,
                             std::uint64_t aWallMs)
{
  // Records before this one are gone; they must all have been older than the window.
  beganAtGap_ = false;
  const auto window = static_cast<std::uint64_t>(settings_.window_.count());
  const bool knewAll = aBatch.read_up_to() >= aOffset.Get();
  const bool allWereOld = knewAll && aBatch.newest_ms() + window < aWallMs;
  if (!allWereOld) {
    const std::uint64_t newest = knewAll ? aBatch.newest_ms() : aBatch.time_ms();
    incompleteUntilMs_ = std::max(incompleteUntilMs_, newest + window);
  }
}

bool Claims::IsRepeated(const wire::ClaimBatch& aBatch)
{
  const std::size_t count = aBatch.key_hashes().size() / kHashBytes;
  if (count == 0) {
    return true;
  }
  LastClaim& last = lastClaims_[common::Incarnation(aBatch.incarnation())];
  if (aBatch.first_number() <= last.number_) {
    return true;
  }
  last = { aBatch.first_number() + count - 1, aBatch.time_ms() };
  return false;
}

bool Claims::IsOwn(const ClaimHolder& aHolder) const
{
  return aHolder.incarnation_ == settings_.self_.incarnation_ &&
         aHolder.instance_ == settings_.self_.instance_;
}

void Claims::Expire(std::uint64_t aWallMs)
{
  // Twice the window, so that clocks that differ do not matter here.
  const auto keep = 2 * static_cast<std::uint64_t>(settings_.window_.count());
  std::erase_if(entries_,
                [&](const auto& aEntry) { return aEntry.second.timeMs_ + keep < aWallMs; });
  std::erase_if(lastClaims_,
                [&](const auto& aEntry) { return aEntry.second.timeMs_ + keep < aWallMs; });
}

} // namespace dandelionstand::caller
