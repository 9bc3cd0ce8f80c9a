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
  common::Duration readWait_ = std::chrono::seconds(1);
  //! How long the log is watched for a record whose append had no answer, before a second append.
  common::Duration lookupPeriod_ = std::chrono::seconds(2);
};

struct PublishRequest
{
  config::PublishId id_;
  std::string operator_;
  config::ConfigState desiredState_;
  //! Version that the document was derived from; absent: the newest in the log.
  std::optional<common::Version> baseVersion_;
  std::uint64_t publishedAtMs_ = 0;
};

enum class PublishVerdict
{
  kAccepted,
  kNoChange,    //!< The log's state is the document's already; nothing was appended.
  kLostRace,    //!< Another record changed a resource first.
  kInvalid,     //!< The record has findings.
  kUnavailable, //!< The deadline passed before anything was appended.
  kUnknown,     //!< The deadline passed while the fate of an append was open.
};

struct PublishOutcome
{
  PublishVerdict verdict_ = PublishVerdict::kUnavailable;
  common::Version version_; //!< Of the record if accepted, else the newest that was read.
  std::vector<config::Change> changes_;
  std::vector<config::Conflict> conflicts_;
  common::Findings findings_;
};

//! ReadNext the configuration stream; answered by OnRead.
struct ReadLog
{
  common::Offset startOffset_;
  common::Duration wait_;
};

//! Append the record; answered by OnAppend.
struct AppendToLog
{
  std::string data_;
};

//! Call OnTimer after this time.
struct Pause
{
  common::Duration delay_;
};

//! The publish has ended.
struct ReportOutcome
{
  PublishOutcome outcome_;
};

using PublishAction = std::variant<ReadLog, AppendToLog, Pause, ReportOutcome>;

//! Decides the steps of one publish. Each event returns the one action that comes next. An append
//! whose answer was lost is looked up in the log by the publish id before it is tried again; the
//! record's bases never change, so that a copy that lands late is refused by every reader.
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
  void FindRecord(const std::vector<config::Evaluated>& aEvaluated);
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
  std::optional<config::PublishRecord> record_;
  std::optional<config::Evaluated>
    evaluatedRecord_; //!< The first record in the log with the publish id.
  bool mayHaveAppended_ = false;
  std::uint64_t gapsBeforeAppend_ = 0;
  std::optional<common::Offset> appendedOffset_;
  std::optional<common::TimePoint> answerLostAt_;
  PublishOutcome outcome_;
};

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_Publisher_h
