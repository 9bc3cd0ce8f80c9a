#ifndef dandelionstand_operators_Publisher_h
#define dandelionstand_operators_Publisher_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/config/Acceptance.h"
#include "dandelionstand/config/PublishRecord.h"
#include "dandelionstand/config/Replica.h"
#include "dandelionstand/platform/Log.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelionstand::operators {

struct PublisherSettings
{
  common::Duration timeout_ = std::chrono::seconds(30); //!< For the whole publish.
  common::Duration retryDelay_ = std::chrono::milliseconds(250);
  common::Duration readWait_ = std::chrono::seconds(1); //!< For new records at the log's tail.
  //! How long the log is searched for a record whose append was not confirmed, before the record is
  //! appended again.
  common::Duration lookupPeriod_ = std::chrono::seconds(2);
};

struct PublishRequest
{
  config::PublishId id_;
  std::string operator_;
  config::ConfigState desiredState_;
  //! Version that the document was derived from; the newest version in the log if not set.
  std::optional<common::Version> baseVersion_;
  std::uint64_t publishedAtMs_ = 0;
};

enum class PublishVerdict
{
  kAccepted,
  kNoChange,    //!< The document makes no change to the base state; nothing was appended.
  kLostRace,    //!< Another record changed one of the resources first.
  kInvalid,     //!< The record has findings, or the log rejected it.
  kUnavailable, //!< The deadline passed and no append can have taken effect.
  kUnknown,     //!< An append may have taken effect; its outcome could not be determined.
};

struct PublishOutcome
{
  PublishVerdict verdict_ = PublishVerdict::kUnavailable;
  common::Version version_; //!< The record's version if accepted, else the newest version read.
  std::vector<config::Change> changes_;
  std::vector<config::Conflict> conflicts_;
  common::Findings findings_;
};

//! Reads the configuration stream; the result goes to OnRead.
struct ReadLog
{
  common::Offset startOffset_;
  common::Duration wait_;
};

//! Appends the record; the result goes to OnAppend.
struct AppendToLog
{
  std::string data_;
};

//! Calls OnTimer after the delay.
struct Pause
{
  common::Duration delay_;
};

//! Ends the publish.
struct ReportOutcome
{
  PublishOutcome outcome_;
};

using PublishAction = std::variant<ReadLog, AppendToLog, Pause, ReportOutcome>;

//! State machine of one publish. Each event returns the next action. If an append is not confirmed,
//! the publisher searches the log for the publish id before it appends the record again. The
//! record's base versions never change, so every reader refuses a copy that is stored late.
class Publisher
{
public:
  Publisher(PublisherSettings aSettings, PublishRequest aRequest);

  PublishAction Start(common::TimePoint aNow);
  PublishAction OnRead(common::TimePoint aNow, const platform::ReadResult& aResult);
  PublishAction OnAppend(common::TimePoint aNow, const platform::AppendResult& aResult);
  PublishAction OnTimer(common::TimePoint aNow);

private:
  void ApplyRead(const platform::ReadResult& aResult);
  void FindRecord(const std::vector<config::EvaluatedRecord>& aEvaluated);
  void CaptureBaseState();
  PublishAction OnTailReached(common::TimePoint aNow);
  PublishAction PrepareRecord();
  PublishAction TryAppend();
  PublishAction ResolveAppend(common::TimePoint aNow);
  PublishAction ResolveAppendFromState();
  PublishAction ReadNext(common::Duration aWait) const;
  PublishAction Report(PublishVerdict aVerdict);
  PublishAction ReportRecord();
  PublishAction ReportTimeout();
  bool IsPastDeadline(common::TimePoint aNow) const { return aNow >= deadline_; }

  PublisherSettings settings_;
  PublishRequest request_;
  common::TimePoint deadline_;
  config::Replica replica_;
  config::ConfigStatePtr baseState_;
  std::optional<config::PublishRecord> record_; //!< The record to append, once prepared.
  //! The first record in the log with the publish id, or record_ if readers would refuse it.
  std::optional<config::EvaluatedRecord> evaluatedRecord_;
  bool mayHaveAppended_ = false;
  std::uint64_t gapsBeforeAppend_ = 0; //!< Log gaps met before the first append.
  std::optional<common::Offset> appendedOffset_;
  std::optional<common::TimePoint> unconfirmedAppendAt_;
  PublishOutcome outcome_;
};

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_Publisher_h
