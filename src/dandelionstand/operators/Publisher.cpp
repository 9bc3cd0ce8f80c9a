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
  KeepBase();
}

PublishAction Publisher::Start(TimePoint aNow)
{
  deadline_ = aNow + settings_.deadline_;
  return Read(kNoWait);
}

PublishAction Publisher::OnRead(TimePoint aNow, const platform::ReadResult& aResult)
{
  Fold(aResult);
  if (own_) {
    return ReportEvaluated();
  }
  if (IsLate(aNow)) {
    return GiveUp();
  }
  const bool isOk = aResult.status_ == LogStatus::kOk;
  if (!isOk && aResult.status_ != LogStatus::kGap) {
    return Pause{ settings_.retryDelay_ };
  }
  const bool isAtTail = isOk && replica_.NextOffset() >= aResult.endOffset_;
  return isAtTail ? AtTail(aNow) : Read(kNoWait);
}

void Publisher::Fold(const platform::ReadResult& aResult)
{
  if (aResult.status_ == LogStatus::kGap) {
    replica_.OnGap(aResult.firstOffset_);
  }
  for (const platform::Record& record : aResult.records_) {
    const Offset previous(replica_.NextOffset().Get() - 1);
    Note(replica_.OnRecord(previous, { record.offset_, record.data_ }));
    KeepBase();
  }
}

void Publisher::Note(const std::vector<config::EvaluatedRecord>& aEvaluated)
{
  for (const config::EvaluatedRecord& evaluated : aEvaluated) {
    const bool isOwn = evaluated.result_.record_.publishId_ == request_.id_;
    if (isOwn && !own_) {
      own_ = evaluated;
    }
  }
}

void Publisher::KeepBase()
{
  if (request_.base_ && replica_.State()->version_ == *request_.base_) {
    base_ = replica_.State();
  }
}

PublishAction Publisher::AtTail(TimePoint aNow)
{
  if (replica_.HasGap()) {
    return Read(settings_.readWait_);
  }
  if (appendedAt_ || answerLostAt_) {
    return Settle(aNow);
  }
  return record_ ? TryAppend() : Prepare();
}

PublishAction Publisher::Prepare()
{
  if (request_.base_ && !base_) {
    outcome_.findings_.Add({ "--base", 0, "" },
                           "the log no longer holds version " +
                             std::to_string(request_.base_->Get()) + ", or never did");
    return Report(PublishVerdict::kInvalid);
  }
  const config::ConfigState& seen = base_ ? *base_ : *replica_.State();
  outcome_.changes_ = config::ChangesBetween(seen, request_.wanted_);
  if (outcome_.changes_.empty()) {
    return Report(PublishVerdict::kNoChange);
  }
  record_ = config::PublishRecord{
    request_.id_, request_.operator_, outcome_.changes_, seen.version_, request_.publishedAtMs_
  };
  return TryAppend();
}

PublishAction Publisher::TryAppend()
{
  std::string data = config::EncodePublishRecord(*record_);
  config::AcceptResult foreseen = Accept(*replica_.State(), replica_.NextOffset(), data);
  if (foreseen.outcome_ != AcceptOutcome::kAccepted) {
    if (mayHaveAppended_ && replica_.Counts().gaps_ > gapsAtAppend_) {
      // What it conflicts with may be this record itself, dropped before it was read.
      return Report(PublishVerdict::kUnknown);
    }
    own_ = config::EvaluatedRecord{ replica_.NextOffset(), std::move(foreseen) };
    return ReportEvaluated();
  }
  answerLostAt_.reset();
  if (!mayHaveAppended_) {
    gapsAtAppend_ = replica_.Counts().gaps_;
  }
  return AppendToLog{ std::move(data) };
}

PublishAction Publisher::OnAppend(TimePoint aNow, const platform::AppendResult& aResult)
{
  switch (aResult.status_) {
    case LogStatus::kOk:
      appendedAt_ = aResult.offset_;
      mayHaveAppended_ = true;
      return Read(kNoWait);
    case LogStatus::kOverloaded:
      return IsLate(aNow) ? GiveUp() : Pause{ settings_.retryDelay_ };
    case LogStatus::kRejected:
      outcome_.findings_.Add({ "log", 0, "" }, "refuses the record");
      return Report(PublishVerdict::kInvalid);
    case LogStatus::kUnavailable:
    case LogStatus::kGap:
      break;
  }
  answerLostAt_ = aNow;
  mayHaveAppended_ = true;
  return Read(kNoWait);
}

PublishAction Publisher::OnTimer(TimePoint aNow)
{
  return IsLate(aNow) ? GiveUp() : Read(kNoWait);
}

PublishAction Publisher::Settle(TimePoint aNow)
{
  if (appendedAt_) {
    return replica_.AppliedOffset() >= *appendedAt_ ? SettleByState() : Read(settings_.readWait_);
  }
  const TimePoint settled = *answerLostAt_ + settings_.settleWait_;
  if (aNow < settled) {
    return Read(std::min(settings_.readWait_, settled - aNow));
  }
  return TryAppend();
}

PublishAction Publisher::SettleByState()
{
  // The record was dropped before it could be read, so a snapshot has to tell its fate.
  const common::Version version(appendedAt_->Get());
  for (const config::Change& change : record_->changes_) {
    const auto present = replica_.State()->Find(change.key_);
    const auto tombstone = replica_.State()->deleted_.find(change.key_);
    const bool isDeletedByOwn =
      tombstone != replica_.State()->deleted_.end() && tombstone->second == version;
    if (isDeletedByOwn || (present && present->version_ == version)) {
      outcome_.version_ = version;
      return Report(PublishVerdict::kAccepted);
    }
  }
  return Report(PublishVerdict::kUnknown);
}

PublishAction Publisher::Read(common::Duration aWait) const
{
  return ReadLog{ replica_.NextOffset(), aWait };
}

PublishAction Publisher::ReportEvaluated()
{
  outcome_.conflicts_ = own_->result_.conflicts_;
  outcome_.findings_ = own_->result_.findings_;
  outcome_.changes_ = own_->result_.record_.changes_;
  switch (own_->result_.outcome_) {
    case AcceptOutcome::kAccepted:
      outcome_.version_ = common::Version(own_->offset_.Get());
      return Report(PublishVerdict::kAccepted);
    case AcceptOutcome::kConflict:
      return Report(PublishVerdict::kLostRace);
    default:
      return Report(PublishVerdict::kInvalid);
  }
}

PublishAction Publisher::GiveUp()
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
