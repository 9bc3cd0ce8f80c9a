#include "dandelionstand/config/Replica.h"

#include "dandelionstand/config/StreamRecord.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::config {

namespace {

using common::Offset;

//! Bound on the records buffered during a gap. Beyond it they are dropped, and the gap extends to
//! the last record that was read.
constexpr std::size_t kMaxBufferedBytes = 8'388'608;

std::optional<Snapshot> DecodeIfSnapshot(const LogRecord& aRecord)
{
  common::Findings ignored;
  return DecodeSnapshotRecord(aRecord.data_, "", ignored);
}

Offset PreviousOffset(Offset aOffset)
{
  return Offset(aOffset.Get() == 0 ? 0 : aOffset.Get() - 1);
}

} // namespace

Replica::Replica()
  : state_(std::make_shared<const ConfigState>())
{
}

Offset Replica::NextOffset() const
{
  return Offset(std::max(appliedOffset_, lastReadOffset_).Get() + 1);
}

std::vector<EvaluatedRecord> Replica::OnRecord(Offset aPreviousOffset, const LogRecord& aRecord)
{
  std::vector<EvaluatedRecord> evaluated;
  if (aRecord.offset_ <= std::max(appliedOffset_, lastReadOffset_)) {
    ++counts_.alreadyApplied_;
  } else if (gapEnd_ && aPreviousOffset <= std::max(lastReadOffset_, PreviousOffset(*gapEnd_))) {
    BufferRecord(aRecord, evaluated);
  } else if (!gapEnd_ && aPreviousOffset <= appliedOffset_) {
    Evaluate(aRecord, evaluated);
  } else {
    ++counts_.outOfOrder_;
  }
  return evaluated;
}

void Replica::Evaluate(const LogRecord& aRecord, std::vector<EvaluatedRecord>& aEvaluated)
{
  AcceptResult result = Accept(*state_, aRecord.offset_, aRecord.data_);
  appliedOffset_ = aRecord.offset_;
  Count(result.outcome_);
  if (result.nextState_) {
    state_ = result.nextState_;
  }
  if (result.outcome_ == AcceptOutcome::kSnapshot) {
    HandleLoggedSnapshot(aRecord);
  }
  aEvaluated.push_back({ aRecord.offset_, std::move(result) });
}

void Replica::Count(AcceptOutcome aOutcome)
{
  switch (aOutcome) {
    case AcceptOutcome::kAccepted:
      ++counts_.accepted_;
      return;
    case AcceptOutcome::kConflict:
    case AcceptOutcome::kInvalid:
      ++counts_.refused_;
      return;
    case AcceptOutcome::kGarbage:
      ++counts_.garbage_;
      return;
    case AcceptOutcome::kOld:
      ++counts_.alreadyApplied_;
      return;
    case AcceptOutcome::kSnapshot:
      return;
  }
}

void Replica::HandleLoggedSnapshot(const LogRecord& aRecord)
{
  const std::optional<Snapshot> snapshot = DecodeIfSnapshot(aRecord);
  if (!snapshot) {
    ++counts_.garbage_;
    return;
  }
  ++counts_.snapshots_;
  snapshotOffset_ = aRecord.offset_;
  snapshotAppliedOffset_ = std::max(snapshotAppliedOffset_, snapshot->appliedOffset_);
  const bool isSameVersion = snapshot->state_->version_ == state_->version_;
  if (isSameVersion && snapshot->hash_ != HashOf(*state_)) {
    ++counts_.diverged_;
  }
}

void Replica::OnGap(Offset aOldestOffset)
{
  if (aOldestOffset.Get() <= appliedOffset_.Get() + 1 ||
      (gapEnd_ && aOldestOffset <= NextOffset())) {
    return;
  }
  ++counts_.gaps_;
  gapEnd_ = aOldestOffset;
  lastReadOffset_ = PreviousOffset(aOldestOffset);
  bufferedRecords_.clear();
  bufferedBytes_ = 0;
}

void Replica::BufferRecord(const LogRecord& aRecord, std::vector<EvaluatedRecord>& aEvaluated)
{
  lastReadOffset_ = aRecord.offset_;
  bufferedRecords_.push_back(aRecord);
  bufferedBytes_ += aRecord.data_.size();
  const std::optional<Snapshot> snapshot = DecodeIfSnapshot(aRecord);
  if (snapshot) {
    OnSnapshot(*snapshot, aEvaluated);
  }
  if (gapEnd_ && bufferedBytes_ > kMaxBufferedBytes) {
    // The dropped records become part of the gap: a snapshot has to cover them to close it.
    gapEnd_ = Offset(aRecord.offset_.Get() + 1);
    bufferedRecords_.clear();
    bufferedBytes_ = 0;
  }
}

AdoptOutcome Replica::OnSnapshot(const Snapshot& aSnapshot,
                                 std::vector<EvaluatedRecord>& aEvaluated)
{
  const bool isGapCovered = !gapEnd_ || aSnapshot.appliedOffset_ >= PreviousOffset(*gapEnd_);
  if (!isGapCovered) {
    if (!furthestSnapshot_ || furthestSnapshot_->appliedOffset_ < aSnapshot.appliedOffset_) {
      furthestSnapshot_ = aSnapshot;
    }
    return AdoptOutcome::kNotNewer;
  }
  return Adopt(aSnapshot.state_, aSnapshot.appliedOffset_, aEvaluated);
}

AdoptOutcome Replica::OnDelta(const Delta& aDelta, std::vector<EvaluatedRecord>& aEvaluated)
{
  if (aDelta.toVersion_ <= state_->version_) {
    return AdoptOutcome::kNotNewer;
  }
  const ConfigStatePtr next = ApplyDelta(*state_, aDelta);
  return next ? Adopt(next, aDelta.appliedOffset_, aEvaluated) : AdoptOutcome::kRefused;
}

AdoptOutcome Replica::Adopt(const ConfigStatePtr& aState,
                            Offset aAppliedOffset,
                            std::vector<EvaluatedRecord>& aEvaluated)
{
  const bool isNewer = aState->version_ > state_->version_;
  if (!isNewer && aAppliedOffset <= appliedOffset_) {
    return AdoptOutcome::kNotNewer;
  }
  const Offset version(aState->version_.Get());
  if (isNewer && version <= appliedOffset_ && version > lastSkippedOffset_) {
    // This replica read the record that made this version and did not accept it.
    ++counts_.diverged_;
    return AdoptOutcome::kRefused;
  }
  if (aState->version_ < state_->version_) {
    ++counts_.diverged_;
  }
  if (isNewer) {
    state_ = aState;
  }
  appliedOffset_ = std::max(appliedOffset_, aAppliedOffset);
  if (gapEnd_ && appliedOffset_ >= PreviousOffset(*gapEnd_)) {
    CloseGap(aEvaluated);
  }
  return AdoptOutcome::kAdopted;
}

void Replica::CloseGap(std::vector<EvaluatedRecord>& aEvaluated)
{
  gapEnd_.reset();
  furthestSnapshot_.reset();
  lastReadOffset_ = Offset(0);
  bufferedBytes_ = 0;
  for (const LogRecord& record : std::exchange(bufferedRecords_, {})) {
    if (record.offset_ > appliedOffset_) {
      Evaluate(record, aEvaluated);
    }
  }
}

std::vector<EvaluatedRecord> Replica::ForceCloseGap()
{
  std::vector<EvaluatedRecord> evaluated;
  if (!gapEnd_) {
    return evaluated;
  }
  ++counts_.forcedGaps_;
  if (furthestSnapshot_ && furthestSnapshot_->state_->version_ > state_->version_) {
    state_ = furthestSnapshot_->state_;
  }
  lastSkippedOffset_ = PreviousOffset(*gapEnd_);
  appliedOffset_ = std::max(appliedOffset_, lastSkippedOffset_);
  CloseGap(evaluated);
  return evaluated;
}

} // namespace dandelionstand::config
