#include "dandelionstand/caller/Claims.h"

#include "dandelionstand/caller/generated/claims.pb.h"

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace dandelionstand::caller {

namespace {

constexpr std::size_t kHashBytes = 16;
constexpr std::size_t kMaxBatchClaims = 1000;
constexpr common::Duration kLongPollWait = std::chrono::seconds(2);
//! How long claims are refused after a failure of the log. Longer than a read takes to time out, so
//! that claims stay refused until a read succeeds.
constexpr common::Duration kLogUnavailablePeriod = std::chrono::seconds(3);
constexpr common::Duration kLogRetryInterval = std::chrono::milliseconds(200);

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
  , appendInterval_(settings_.minAppendInterval_)
{
}

ClaimActions Claims::Claim(ClaimNumber aNumber,
                           const KeyHash& aKey,
                           common::TimePoint aNow,
                           std::uint64_t aWallMs)
{
  ClaimActions actions;
  followUntil_ = aNow + settings_.idleFollowPeriod_;
  if (IsLogUnavailable(aNow)) {
    actions.push_back(ClaimRefused{ aNumber, "log-away" });
    Advance(aNow, aWallMs, actions);
    return actions;
  }
  queued_[aNumber] = { aKey, aNow + settings_.timeout_ };
  Advance(aNow, aWallMs, actions);
  return actions;
}

ClaimActions Claims::Release(ClaimNumber aNumber, common::TimePoint aNow, std::uint64_t aWallMs)
{
  ClaimActions actions;
  pendingReleases_.push_back(aNumber);
  followUntil_ = aNow + settings_.idleFollowPeriod_;
  Advance(aNow, aWallMs, actions);
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
      appendInterval_ = std::max(settings_.minAppendInterval_, appendInterval_ * 3 / 4);
      // No other record lies in between, so this one can be applied without reading it back.
      if (isSynced_ && aResult.offset_ == nextOffset_ && !pendingBatch_.empty()) {
        ApplyRecord({ aResult.offset_, pendingBatch_ }, aWallMs, actions);
      }
      break;
    case platform::LogStatus::kOverloaded:
      appendInterval_ = std::min(settings_.maxAppendInterval_, appendInterval_ * 2);
      nextAppendAt_ = aNow + appendInterval_;
      break;
    case platform::LogStatus::kRejected:
      pendingBatch_.clear();
      for (const auto& [number, claim] : unconfirmed_) {
        if (!claim.isAbandoned_) {
          actions.push_back(ClaimRefused{ number, "log-rejected" });
        }
      }
      unconfirmed_.clear();
      break;
    default:
      // The append may have taken effect: the batch is appended again only if a read does not
      // return it. If both copies end up in the stream, the second is ignored as a duplicate.
      isAppendOutcomeUnknown_ = true;
      OnLogFailed(aNow, actions);
      break;
  }
  Advance(aNow, aWallMs, actions);
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
    nextReadAt_ = aNow + kLogRetryInterval;
    if (aResult.status_ == platform::LogStatus::kUnavailable) {
      OnLogFailed(aNow, actions);
    }
    Advance(aNow, aWallMs, actions);
    return actions;
  }
  logUnavailableUntil_ = aNow;
  if (aResult.status_ == platform::LogStatus::kGap) {
    isSynced_ = false;
    isResumingAfterGap_ = true;
    nextOffset_ = aResult.firstOffset_;
  } else if (aResult.endOffset_ < readOffset_) {
    // The stream ends before the offset already read: it has lost records.
    MarkWindowIncomplete(aWallMs);
    nextOffset_ = common::Offset(1);
  } else {
    for (const platform::Record& record : aResult.records_) {
      ApplyRecord(record, aWallMs, actions);
    }
    if (nextOffset_ >= aResult.endOffset_) {
      OnEndOfStream(aWallMs);
    }
  }
  Advance(aNow, aWallMs, actions);
  return actions;
}

ClaimActions Claims::Tick(common::TimePoint aNow, std::uint64_t aWallMs)
{
  ClaimActions actions;
  RemoveExpired(aWallMs);
  Advance(aNow, aWallMs, actions);
  return actions;
}

bool Claims::IsWindowComplete(std::uint64_t aWallMs) const
{
  return aWallMs >= windowIncompleteUntilMs_;
}

void Claims::MarkWindowIncomplete(std::uint64_t aWallMs)
{
  isSynced_ = false;
  windowIncompleteUntilMs_ = aWallMs + static_cast<std::uint64_t>(settings_.window_.count());
}

void Claims::OnEndOfStream(std::uint64_t aWallMs)
{
  // A gap with no record after it: retention removed all records, which are then older than the
  // window. But if the end was reached within the last window, the lost records were appended since
  // and belong to the window.
  const auto windowMs = static_cast<std::uint64_t>(settings_.window_.count());
  if (isResumingAfterGap_ && lastSyncedAtMs_ > 0 && lastSyncedAtMs_ + windowMs > aWallMs) {
    MarkWindowIncomplete(aWallMs);
  }
  isResumingAfterGap_ = false;
  isSynced_ = true;
  isAppendOutcomeUnknown_ = false;
  lastSyncedAtMs_ = aWallMs;
}

void Claims::OnLogFailed(common::TimePoint aNow, ClaimActions& aActions)
{
  logUnavailableUntil_ = aNow + kLogUnavailablePeriod;
  nextAppendAt_ = aNow + kLogRetryInterval;
  RefuseQueued("log-away", aActions);
}

void Claims::TimeOutLogRequests(common::TimePoint aNow, ClaimActions& aActions)
{
  if (isReading_ && aNow >= readDeadline_) {
    isReading_ = false;
    OnLogFailed(aNow, aActions);
  }
  if (isAppending_ && aNow >= appendDeadline_) {
    isAppending_ = false;
    isAppendOutcomeUnknown_ = true;
    OnLogFailed(aNow, aActions);
  }
}

void Claims::Advance(common::TimePoint aNow, std::uint64_t aWallMs, ClaimActions& aActions)
{
  TimeOutLogRequests(aNow, aActions);
  RefuseExpired(aNow, aActions);
  if (isSynced_ && !IsWindowComplete(aWallMs)) {
    RefuseQueued("claims-window-lost", aActions);
  }
  StartRead(aNow, aActions);
  StartAppend(aNow, aWallMs, aActions);
}

void Claims::RefuseExpired(common::TimePoint aNow, ClaimActions& aActions)
{
  for (auto claim = queued_.begin(); claim != queued_.end();) {
    if (claim->second.deadline_ > aNow) {
      ++claim;
      continue;
    }
    aActions.push_back(ClaimRefused{ claim->first, "claim-timeout" });
    claim = queued_.erase(claim);
  }
  for (auto& [number, claim] : unconfirmed_) {
    if (!claim.isAbandoned_ && claim.deadline_ <= aNow) {
      claim.isAbandoned_ = true;
      aActions.push_back(ClaimRefused{ number, "claim-timeout" });
    }
  }
}

void Claims::RefuseQueued(const std::string& aReason, ClaimActions& aActions)
{
  for (const auto& entry : queued_) {
    aActions.push_back(ClaimRefused{ entry.first, aReason });
  }
  queued_.clear();
}

void Claims::StartRead(common::TimePoint aNow, ClaimActions& aActions)
{
  const bool isReadNeeded = PendingCount() > 0 || !pendingReleases_.empty() || aNow < followUntil_;
  if (isReading_ || !isReadNeeded || aNow < nextReadAt_) {
    return;
  }
  isReading_ = true;
  // Long polls only at the end of the stream; catching up, resolving an append with unknown outcome
  // and probing an unavailable log need an answer at once.
  const bool canLongPoll = isSynced_ && !isAppendOutcomeUnknown_ && !IsLogUnavailable(aNow);
  const common::Duration wait = canLongPoll ? kLongPollWait : common::Duration(0);
  readOffset_ = nextOffset_;
  readDeadline_ = aNow + wait + settings_.timeout_;
  aActions.push_back(ReadClaims{ ++readGeneration_, nextOffset_, wait });
}

void Claims::StartAppend(common::TimePoint aNow, std::uint64_t aWallMs, ClaimActions& aActions)
{
  const bool canAppend =
    isSynced_ && !isAppending_ && !isAppendOutcomeUnknown_ && !IsLogUnavailable(aNow);
  if (!canAppend || aNow < nextAppendAt_) {
    return;
  }
  if (pendingBatch_.empty()) {
    // Claims of keys that are already held are lost without an append.
    for (auto claim = queued_.begin(); claim != queued_.end();) {
      const auto known = claimedKeys_.find(claim->second.key_);
      if (known == claimedKeys_.end()) {
        ++claim;
        continue;
      }
      aActions.push_back(ClaimLost{ claim->first, known->second.holder_ });
      claim = queued_.erase(claim);
    }
    if (queued_.empty() && pendingReleases_.empty()) {
      return;
    }
    pendingBatch_ = MakeBatch(aWallMs);
  }
  isAppending_ = true;
  nextAppendAt_ = aNow + appendInterval_;
  appendDeadline_ = aNow + settings_.timeout_;
  aActions.push_back(AppendClaims{ ++appendGeneration_, pendingBatch_ });
}

std::string Claims::MakeBatch(std::uint64_t aWallMs)
{
  wire::ClaimBatch batch;
  batch.set_instance(settings_.self_.instance_.Get());
  batch.set_incarnation(settings_.self_.incarnation_.Get());
  batch.set_address(settings_.self_.address_.Get());
  batch.set_time_ms(aWallMs);
  batch.set_read_up_to(nextOffset_.Get());
  batch.set_newest_ms(newestRecordMs_);
  while (!queued_.empty() && unconfirmed_.size() < kMaxBatchClaims) {
    const auto first = queued_.begin();
    if (unconfirmed_.empty() || batch.key_hashes().empty()) {
      batch.set_first_number(first->first.Get());
    }
    // A batch holds consecutive numbers, so it ends before a number that was refused.
    const std::uint64_t expected = batch.first_number() + batch.key_hashes().size() / kHashBytes;
    if (first->first.Get() != expected) {
      break;
    }
    AppendHash(*batch.mutable_key_hashes(), first->second.key_);
    unconfirmed_.insert(*first);
    queued_.erase(first);
  }
  for (const ClaimNumber number : pendingReleases_) {
    batch.add_released(number.Get());
  }
  pendingReleases_.clear();
  return batch.SerializeAsString();
}

void Claims::ApplyRecord(const platform::Record& aRecord,
                         std::uint64_t aWallMs,
                         ClaimActions& aActions)
{
  if (aRecord.offset_ < nextOffset_) {
    return;
  }
  nextOffset_ = common::Offset(aRecord.offset_.Get() + 1);
  wire::ClaimBatch batch;
  if (!batch.ParseFromString(aRecord.data_) || batch.key_hashes().size() % kHashBytes != 0) {
    ++malformed_;
    return;
  }
  if (isResumingAfterGap_) {
    CheckRecordAfterGap(batch, aRecord.offset_, aWallMs);
  }
  newestRecordMs_ = std::max(newestRecordMs_, static_cast<std::uint64_t>(batch.time_ms()));
  ClaimHolder holder{ common::InstanceId(batch.instance()),
                      common::Incarnation(batch.incarnation()),
                      common::Address(batch.address()),
                      ClaimNumber(batch.first_number()) };
  if (IsLocal(holder) && aRecord.data_ == pendingBatch_) {
    pendingBatch_.clear();
    isAppendOutcomeUnknown_ = false;
  }
  for (const std::uint64_t number : batch.released()) {
    for (auto entry = claimedKeys_.begin(); entry != claimedKeys_.end(); ++entry) {
      const ClaimHolder& known = entry->second.holder_;
      if (known.instance_ == holder.instance_ && known.incarnation_ == holder.incarnation_ &&
          known.number_.Get() == number) {
        claimedKeys_.erase(entry);
        break;
      }
    }
  }
  if (IsDuplicate(batch)) {
    return;
  }
  const std::size_t count = batch.key_hashes().size() / kHashBytes;
  for (std::size_t i = 0; i < count; ++i) {
    holder.number_ = ClaimNumber(batch.first_number() + i);
    ApplyClaim(ReadHash(batch.key_hashes(), i), holder, batch.time_ms(), aActions);
  }
}

void Claims::ApplyClaim(const KeyHash& aKey,
                        const ClaimHolder& aHolder,
                        std::uint64_t aTimeMs,
                        ClaimActions& aActions)
{
  ClaimedKey& entry = claimedKeys_[aKey];
  const bool isFree = entry.holder_ == ClaimHolder{};
  const bool isExpired =
    aTimeMs > entry.timeMs_ + static_cast<std::uint64_t>(settings_.window_.count());
  if (isFree || isExpired) {
    entry = { aHolder, aTimeMs };
  }
  if (IsLocal(aHolder)) {
    ResolveClaim(aHolder.number_, entry.holder_, aActions);
  }
}

void Claims::ResolveClaim(ClaimNumber aNumber, const ClaimHolder& aHolder, ClaimActions& aActions)
{
  const auto found = unconfirmed_.find(aNumber);
  if (found == unconfirmed_.end()) {
    return;
  }
  const bool isWon = IsLocal(aHolder) && aHolder.number_ == aNumber;
  if (found->second.isAbandoned_) {
    if (isWon) {
      pendingReleases_.push_back(aNumber);
    }
  } else if (isWon) {
    aActions.push_back(ClaimWon{ aNumber });
  } else {
    aActions.push_back(ClaimLost{ aNumber, aHolder });
  }
  unconfirmed_.erase(found);
}

void Claims::CheckRecordAfterGap(const wire::ClaimBatch& aBatch,
                                 common::Offset aOffset,
                                 std::uint64_t aWallMs)
{
  // The records before this one are lost. The window is complete only if they are all older than
  // it. A writer that had read the stream up to here states the time of the newest lost record.
  isResumingAfterGap_ = false;
  const auto windowMs = static_cast<std::uint64_t>(settings_.window_.count());
  const bool hasWriterReadAll = aBatch.read_up_to() >= aOffset.Get();
  const bool areLostRecordsExpired = hasWriterReadAll && aBatch.newest_ms() + windowMs < aWallMs;
  if (!areLostRecordsExpired) {
    const std::uint64_t newest = hasWriterReadAll ? aBatch.newest_ms() : aBatch.time_ms();
    windowIncompleteUntilMs_ = std::max(windowIncompleteUntilMs_, newest + windowMs);
  }
}

bool Claims::IsDuplicate(const wire::ClaimBatch& aBatch)
{
  const std::size_t count = aBatch.key_hashes().size() / kHashBytes;
  if (count == 0) {
    return true;
  }
  LastClaim& last = lastClaims_[{ common::InstanceId(aBatch.instance()),
                                  common::Incarnation(aBatch.incarnation()) }];
  if (aBatch.first_number() <= last.number_) {
    return true;
  }
  last = { aBatch.first_number() + count - 1, aBatch.time_ms() };
  return false;
}

bool Claims::IsLocal(const ClaimHolder& aHolder) const
{
  return aHolder.incarnation_ == settings_.self_.incarnation_ &&
         aHolder.instance_ == settings_.self_.instance_;
}

void Claims::RemoveExpired(std::uint64_t aWallMs)
{
  // Twice the window, to tolerate clock differences between daemons.
  const auto retentionMs = 2 * static_cast<std::uint64_t>(settings_.window_.count());
  std::erase_if(claimedKeys_,
                [&](const auto& aEntry) { return aEntry.second.timeMs_ + retentionMs < aWallMs; });
  std::erase_if(lastClaims_,
                [&](const auto& aEntry) { return aEntry.second.timeMs_ + retentionMs < aWallMs; });
}

} // namespace dandelionstand::caller
