#include "dandelionstand/operators/Publisher.h"

#include "dandelionstand/config/Publish.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::operators {

namespace {

using common::Offset;
using common::TimePoint;
using config::AcceptOutcome;
using platform::LogStatus;

constexpr common::Duration kNoWait{ 0 };

} // namespace

Publisher::Publisher(PublisherSettings aSettings, PublishRequest aRequest)
  : settings_(aSettings)
  , request_(std::move(aRequest))
{
  CaptureBaseState();
}

PublishAction Publisher::Start(TimePoint aNow)
{
  deadline_ = aNow + settings_.timeout_;
  return ReadNext(kNoWait);
}

PublishAction Publisher::OnRead(TimePoint aNow, const platform::ReadResult& aResult)
{
  ApplyRead(aResult);
  if (evaluatedRecord_) {
    return ReportRecord();
  }
  if (IsPastDeadline(aNow)) {
    return ReportTimeout();
  }
  const bool isOk = aResult.status_ == LogStatus::kOk;
  if (!isOk && aResult.status_ != LogStatus::kGap) {
    return Pause{ settings_.retryDelay_ };
  }
  const bool isAtTail = isOk && replica_.NextOffset() >= aResult.endOffset_;
  return isAtTail ? OnTailReached(aNow) : ReadNext(kNoWait);
}

void Publisher::ApplyRead(const platform::ReadResult& aResult)
{
  if (aResult.status_ == LogStatus::kGap) {
    replica_.OnGap(aResult.firstOffset_);
  }
  for (const platform::Record& record : aResult.records_) {
    const Offset previous(replica_.NextOffset().Get() - 1);
    FindRecord(replica_.OnRecord(previous, { record.offset_, record.data_ }));
    CaptureBaseState();
  }
}

void Publisher::FindRecord(const std::vector<config::EvaluatedRecord>& aEvaluated)
{
  for (const config::EvaluatedRecord& evaluated : aEvaluated) {
    const bool hasPublishId = evaluated.result_.record_.publishId_ == request_.id_;
    if (hasPublishId && !evaluatedRecord_) {
      evaluatedRecord_ = evaluated;
    }
  }
}

void Publisher::CaptureBaseState()
{
  if (request_.baseVersion_ && replica_.State()->version_ == *request_.baseVersion_) {
    baseState_ = replica_.State();
  }
}

PublishAction Publisher::OnTailReached(TimePoint aNow)
{
  if (replica_.HasGap()) {
    return ReadNext(settings_.readWait_);
  }
  if (appendedOffset_ || unconfirmedAppendAt_) {
    return ResolveAppend(aNow);
  }
  return record_ ? TryAppend() : PrepareRecord();
}

PublishAction Publisher::PrepareRecord()
{
  if (request_.baseVersion_ && !baseState_) {
    outcome_.findings_.Add({ "--base", 0, "" },
                           "version " + std::to_string(request_.baseVersion_->Get()) +
                             " is not in the log; it was dropped or never existed");
    return Report(PublishVerdict::kInvalid);
  }
  const config::ConfigState& baseState = baseState_ ? *baseState_ : *replica_.State();
  outcome_.changes_ = config::ChangesBetween(baseState, request_.desiredState_);
  if (outcome_.changes_.empty()) {
    return Report(PublishVerdict::kNoChange);
  }
  record_ = config::PublishRecord{
    request_.id_, request_.operator_, outcome_.changes_, baseState.version_, request_.publishedAtMs_
  };
  return TryAppend();
}

PublishAction Publisher::TryAppend()
{
  std::string data = config::EncodePublishRecord(*record_);
  config::AcceptResult expected = Accept(*replica_.State(), replica_.NextOffset(), data);
  if (expected.outcome_ != AcceptOutcome::kAccepted) {
    if (mayHaveAppended_ && replica_.Counts().gaps_ > gapsBeforeAppend_) {
      // The refusal may be due to the earlier append of this same record, which the log dropped
      // before it was read.
      return Report(PublishVerdict::kUnknown);
    }
    evaluatedRecord_ = config::EvaluatedRecord{ replica_.NextOffset(), std::move(expected) };
    return ReportRecord();
  }
  unconfirmedAppendAt_.reset();
  if (!mayHaveAppended_) {
    gapsBeforeAppend_ = replica_.Counts().gaps_;
  }
  return AppendToLog{ std::move(data) };
}

PublishAction Publisher::OnAppend(TimePoint aNow, const platform::AppendResult& aResult)
{
  switch (aResult.status_) {
    case LogStatus::kOk:
      appendedOffset_ = aResult.offset_;
      mayHaveAppended_ = true;
      return ReadNext(kNoWait);
    case LogStatus::kOverloaded:
      return IsPastDeadline(aNow) ? ReportTimeout() : Pause{ settings_.retryDelay_ };
    case LogStatus::kRejected:
      outcome_.findings_.Add({ "log", 0, "" }, "rejected the record");
      return Report(PublishVerdict::kInvalid);
    case LogStatus::kUnavailable:
    case LogStatus::kGap:
      break;
  }
  unconfirmedAppendAt_ = aNow;
  mayHaveAppended_ = true;
  return ReadNext(kNoWait);
}

PublishAction Publisher::OnTimer(TimePoint aNow)
{
  return IsPastDeadline(aNow) ? ReportTimeout() : ReadNext(kNoWait);
}

PublishAction Publisher::ResolveAppend(TimePoint aNow)
{
  if (appendedOffset_) {
    return replica_.AppliedOffset() >= *appendedOffset_ ? ResolveAppendFromState()
                                                        : ReadNext(settings_.readWait_);
  }
  const TimePoint lookupEnd = *unconfirmedAppendAt_ + settings_.lookupPeriod_;
  if (aNow < lookupEnd) {
    return ReadNext(std::min(settings_.readWait_, lookupEnd - aNow));
  }
  return TryAppend();
}

PublishAction Publisher::ResolveAppendFromState()
{
  // The log dropped the record before it was read, so the state of a later snapshot is searched for
  // a resource or tombstone with the record's version.
  const common::Version version(appendedOffset_->Get());
  for (const config::Change& change : record_->changes_) {
    const auto resource = replica_.State()->Find(change.key_);
    const auto tombstone = replica_.State()->deleted_.find(change.key_);
    const bool isDeletedByRecord =
      tombstone != replica_.State()->deleted_.end() && tombstone->second == version;
    if (isDeletedByRecord || (resource && resource->version_ == version)) {
      outcome_.version_ = version;
      return Report(PublishVerdict::kAccepted);
    }
  }
  return Report(PublishVerdict::kUnknown);
}

PublishAction Publisher::ReadNext(common::Duration aWait) const
{
  return ReadLog{ replica_.NextOffset(), aWait };
}

PublishAction Publisher::ReportRecord()
{
  outcome_.conflicts_ = evaluatedRecord_->result_.conflicts_;
  outcome_.findings_ = evaluatedRecord_->result_.findings_;
  outcome_.changes_ = evaluatedRecord_->result_.record_.changes_;
  switch (evaluatedRecord_->result_.outcome_) {
    case AcceptOutcome::kAccepted:
      outcome_.version_ = common::Version(evaluatedRecord_->offset_.Get());
      return Report(PublishVerdict::kAccepted);
    case AcceptOutcome::kConflict:
      return Report(PublishVerdict::kLostRace);
    default:
      return Report(PublishVerdict::kInvalid);
  }
}

PublishAction Publisher::ReportTimeout()
{
  if (replica_.HasGap()) {
    outcome_.findings_.Add({ "log", 0, "" },
                           "has dropped records and holds no snapshot that replaces them");
  }
  return Report(mayHaveAppended_ ? PublishVerdict::kUnknown : PublishVerdict::kUnavailable);
}

PublishAction Publisher::Report(PublishVerdict aVerdict)
{
  outcome_.verdict_ = aVerdict;
  if (aVerdict != PublishVerdict::kAccepted) {
    outcome_.version_ = replica_.State()->version_;
  }
  return ReportOutcome{ outcome_ };
}

} // namespace dandelionstand::operators
