#ifndef dandelionstand_platform_HttpLog_h
#define dandelionstand_platform_HttpLog_h

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/platform/HttpClient.h"
#include "dandelionstand/platform/Log.h"
#include "dandelionstand/platform/LogGroups.h"

#include <cstddef>
#include <memory>
#include <string>

namespace dandelionstand::platform {

struct HttpLogSettings
{
  common::Address address_;   //!< IP address and port of the log service.
  std::string sourceAddress_; //!< Local IP address; if empty, the system chooses it.
  //! Timeout of an append; a read has the same timeout in addition to its wait.
  common::Duration timeout_ = std::chrono::seconds(3);
  //! A read ends once its records reach this size.
  std::size_t maxReadBytes_ = std::size_t{ 8 } * 1024 * 1024;
  //! Requests above this number are refused as kOverloaded without being sent.
  std::size_t maxInFlight_ = 64;
};

//! Client of the platform's log service. A stream is partition 0 of the topic of the same name; a
//! keyed stream is partition 0 of the topic `keyed.NAME`. Every failure is counted and logged.
//! Counters: `log_appends_total` and `log_reads_total` by outcome, `log_oversized_records_total`,
//! `log_malformed_answers_total`.
class HttpLog
  : public Log
  , public LogGroups
{
public:
  HttpLog(common::EventLoop& aLoop, HttpLogSettings aSettings, common::Counters& aCounters);

  void Append(const StreamName& aStream, std::string aData, AppendCallback aCallback) override;
  void Read(const StreamName& aStream,
            common::Offset aOffset,
            common::Duration aMaxWait,
            ReadCallback aCallback) override;
  void AppendKeyed(const StreamName& aStream,
                   const std::string& aKey,
                   const std::string& aData,
                   AppendCallback aCallback) override;
  void ReadKeyed(const StreamName& aStream,
                 common::Offset aOffset,
                 common::Duration aMaxWait,
                 KeyedReadCallback aCallback) override;
  void ReadNewest(const StreamName& aStream, KeyedReadCallback aCallback) override;

  void JoinGroup(const GroupJoin& aJoin,
                 common::Duration aTimeout,
                 JoinCallback aCallback) override;
  void ReadOwners(const std::string& aGroup, OwnersCallback aCallback) override;

private:
  class PendingRead;

  //! State of a ReadNewest call, which reads page by page.
  struct PagedRead;

  static LogStatus ToLogStatus(const HttpResponse& aResponse);
  bool IsAtRequestLimit() const { return client_.InFlightCount() >= settings_.maxInFlight_; }
  void AppendToTopic(const std::string& aTopic,
                     const std::string& aRecord,
                     AppendCallback aCallback);
  void ReadTopic(const std::string& aTopic,
                 common::Offset aOffset,
                 common::Duration aMaxWait,
                 ReadCallback aCallback);
  void ReadPage(const std::shared_ptr<PagedRead>& aPagedRead);
  void OnPage(const std::shared_ptr<PagedRead>& aPagedRead, const HttpResponse& aResponse);
  void RefuseAppend(const std::string& aTopic, LogStatus aStatus, AppendCallback aCallback);
  AppendResult ToAppendResult(const std::string& aTopic, const HttpResponse& aResponse);
  ReadResult ToReadResult(PendingRead& aRead, const HttpResponse& aResponse);
  //! Sets the offsets of a gap; returns false if the answer lacks the oldest retained offset.
  bool ParseGap(const PendingRead& aRead, const HttpResponse& aResponse, ReadResult& aResult);
  //! Moves the records into aResult; returns false if their frames are malformed.
  bool MoveRecords(PendingRead& aRead, const HttpResponse& aResponse, ReadResult& aResult);
  void CountRequest(const char* aRequest, LogStatus aStatus);
  void ReportFailure(const char* aRequest,
                     const std::string& aTopic,
                     LogStatus aStatus,
                     const HttpResponse& aResponse);
  void ReportMalformed(const std::string& aTopic, const char* aReason);

  common::EventLoop& loop_;
  HttpLogSettings settings_;
  common::Counters& counters_;
  HttpClient client_;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_HttpLog_h
