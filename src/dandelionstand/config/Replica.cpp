#include "dandelionstand/config/Replica.h"

#include "dandelionstand/config/StreamRecord.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::config {

namespace {

using common::Offset;

//! Records held back during a gap; beyond it they are dropped and read again.
constexpr std::size_t kMaxHeldBackBytes = 8'388'608;

std::optional<Snapshot> SnapshotIn(const LogRecord& aRecord)
{
  common::Findings ignored;
  return DecodeSnapshotRecord(aRecord.data_, "", ignored);
}

Offset Before(Offset aOffset)
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
  return Offset(std::max(through_, heldThrough_).Get() + 1);
}

std::vector<EvaluatedRecord> Replica::OnRecord(Offset aPrevious, const LogRecord& aRecord)
{
  std::vector<EvaluatedRecord> evaluated;
  if (aRecord.offset_ <= std::max(through_, heldThrough_)) {
    ++counts_.old_;
  } else if (gapFirst_ && aPrevious <= std::max(heldThrough_, Before(*gapFirst_))) {
    HoldBack(aRecord, evaluated);
  } else if (!gapFirst_ && aPrevious <= through_) {
    Evaluate(aRecord, evaluated);
  } else {
    ++counts_.missing_;
  }
  return evaluated;
}

void Replica::Evaluate(const LogRecord& aRecord, std::vector<EvaluatedRecord>& aEvaluated)
{
  AcceptResult result = Accept(*state_, aRecord.offset_, aRecord.data_);
  through_ = aRecord.offset_;
  Count(result.outcome_);
  if (result.nextState_) {
    state_ = result.nextState_;
  }
  if (result.outcome_ == AcceptOutcome::kSnapshot) {
    NoteSnapshot(aRecord);
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
      ++counts_.old_;
      return;
    case AcceptOutcome::kSnapshot:
      return;
  }
}

void Replica::NoteSnapshot(const LogRecord& aRecord)
{
  const std::optional<Snapshot> snapshot = SnapshotIn(aRecord);
  if (!snapshot) {
    ++counts_.garbage_;
    return;
  }
  ++counts_.snapshots_;
  snapshotOffset_ = aRecord.offset_;
  snapshotThrough_ = std::max(snapshotThrough_, snapshot->appliedOffset_);
  const bool isSameVersion = snapshot->state_->version_ == state_->version_;
  if (isSameVersion && snapshot->hash_ != HashOf(*state_)) {
    ++counts_.diverged_;
  }
}

void Replica::OnGap(Offset aFirst)
{
  if (aFirst.Get() <= through_.Get() + 1 || (gapFirst_ && aFirst <= NextOffset())) {
    return;
  }
  ++counts_.gaps_;
  gapFirst_ = aFirst;
  heldThrough_ = Before(aFirst);
  heldBack_.clear();
  heldBackBytes_ = 0;
}

void Replica::HoldBack(const LogRecord& aRecord, std::vector<EvaluatedRecord>& aEvaluated)
{
  heldThrough_ = aRecord.offset_;
  heldBack_.push_back(aRecord);
  heldBackBytes_ += aRecord.data_.size();
  const std::optional<Snapshot> snapshot = SnapshotIn(aRecord);
  if (snapshot) {
    OnSnapshot(*snapshot, aEvaluated);
  }
  if (gapFirst_ && heldBackBytes_ > kMaxHeldBackBytes) {
    // What is dropped here widens the gap; only a snapshot that reaches this far closes it.
    gapFirst_ = Offset(aRecord.offset_.Get() + 1);
    heldBack_.clear();
    heldBackBytes_ = 0;
  }
}

AdoptOutcome Replica::OnSnapshot(const Snapshot& aSnapshot,
                                 std::vector<EvaluatedRecord>& aEvaluated)
{
  const bool bridges = !gapFirst_ || aSnapshot.appliedOffset_ >= Before(*gapFirst_);
  if (!bridges) {
    if (!furthest_ || furthest_->appliedOffset_ < aSnapshot.appliedOffset_) {
      furthest_ = aSnapshot;
    }
    return AdoptOutcome::kNotNewer;
  }
  return Adopt(aSnapshot.state_, aSnapshot.appliedOffset_, aEvaluated);
}

AdoptOutcome Replica::OnDelta(const Delta& aDelta, std::vector<EvaluatedRecord>& aEvaluated)
{
  if (aDelta.to_ <= state_->version_) {
    return AdoptOutcome::kNotNewer;
  }
  const ConfigStatePtr next = ApplyDelta(*state_, aDelta);
  return next ? Adopt(next, aDelta.through_, aEvaluated) : AdoptOutcome::kRefused;
}

AdoptOutcome Replica::Adopt(const ConfigStatePtr& aState,
                            Offset aThrough,
                            std::vector<EvaluatedRecord>& aEvaluated)
{
  const bool isNewer = aState->version_ > state_->version_;
  if (!isNewer && aThrough <= through_) {
    return AdoptOutcome::kNotNewer;
  }
  const Offset version(aState->version_.Get());
  if (isNewer && version <= through_ && version > unreadThrough_) {
    // This replica has refused the record that the other one claims to have accepted.
    ++counts_.diverged_;
    return AdoptOutcome::kRefused;
  }
  if (aState->version_ < state_->version_) {
    ++counts_.diverged_;
  }
  if (isNewer) {
    state_ = aState;
  }
  through_ = std::max(through_, aThrough);
  if (gapFirst_ && through_ >= Before(*gapFirst_)) {
    CloseGap(aEvaluated);
  }
  return AdoptOutcome::kAdopted;
}

void Replica::CloseGap(std::vector<EvaluatedRecord>& aEvaluated)
{
  gapFirst_.reset();
  furthest_.reset();
  heldThrough_ = Offset(0);
  heldBackBytes_ = 0;
  for (const LogRecord& record : std::exchange(heldBack_, {})) {
    if (record.offset_ > through_) {
      Evaluate(record, aEvaluated);
    }
  }
}

std::vector<EvaluatedRecord> Replica::ForceCloseGap()
{
  std::vector<EvaluatedRecord> evaluated;
  if (!gapFirst_) {
    return evaluated;
  }
  ++counts_.forcedGaps_;
  if (furthest_ && furthest_->state_->version_ > state_->version_) {
    state_ = furthest_->state_;
  }
  unreadThrough_ = Before(*gapFirst_);
  through_ = std::max(through_, unreadThrough_);
  CloseGap(evaluated);
  return evaluated;
}

} // namespace dandelionstand::config
