#ifndef dandelionstand_platform_HttpLog_h
#define dandelionstand_platform_HttpLog_h

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/platform/HttpClient.h"
#include "dandelionstand/platform/Log.h"

#include <cstddef>
#include <memory>
#include <string>

namespace dandelionstand::platform {

struct HttpLogSettings
{
  common::Address address_;   //!< Host (an IP number) and port of the log service.
  std::string sourceAddress_; //!< Local IP number; empty leaves it to the system.
  //! For an append, and for a read on top of its wait.
  common::Duration timeout_ = std::chrono::seconds(3);
  //! A read ends once its records take this much.
  std::size_t maxReadBytes_ = std::size_t{ 8 } * 1024 * 1024;
  //! More requests at once are refused as kOverloaded without being sent.
  std::size_t maxRunning_ = 64;
};

//! The log service over HTTP. A stream is partition 0 of the topic of its name; a keyed stream that
//! of the topic `keyed.NAME`. Every failure is counted and logged. Counters: `log_appends_total`
//! and `log_reads_total` by outcome, `log_oversized_records_total`, `log_malformed_answers_total`.
class HttpLog : public Log
{
public:
  HttpLog(common::EventLoop& aLoop, HttpLogSettings aSettings, common::Counters& aCounters);

  void Append(const StreamName& aStream, std::string aData, AppendCallback aCallback) override;
  void Read(const StreamName& aStream,
            common::Offset aFrom,
            common::Duration aWait,
            ReadCallback aCallback) override;
  void AppendKeyed(const StreamName& aStream,
                   const std::string& aKey,
                   const std::string& aData,
                   AppendCallback aCallback) override;
  void ReadKeyed(const StreamName& aStream,
                 common::Offset aFrom,
                 common::Duration aWait,
                 KeyedReadCallback aCallback) override;
  void ReadNewest(const StreamName& aStream, KeyedReadCallback aCallback) override;

private:
  class Reading;

  //! Records of the pages of a newest-records read so far.
  struct Pages;

  bool IsFull() const { return client_.InFlightCount() >= settings_.maxRunning_; }
  void AppendTo(const std::string& aTopic, const std::string& aRecord, AppendCallback aCallback);
  void ReadFrom(const std::string& aTopic,
                common::Offset aFrom,
                common::Duration aWait,
                ReadCallback aCallback);
  void ReadPage(const std::shared_ptr<Pages>& aPages);
  void OnPage(const std::shared_ptr<Pages>& aPages, const HttpResponse& aAnswer);
  void RefuseAppend(const std::string& aTopic, LogStatus aStatus, AppendCallback aCallback);
  AppendResult ToAppendResult(const std::string& aTopic, const HttpResponse& aAnswer);
  ReadResult ToReadResult(Reading& aReading, const HttpResponse& aAnswer);
  //! Sets the first kept offset of a gap; false if the answer does not name it.
  bool ReadGap(const Reading& aReading, const HttpResponse& aAnswer, ReadResult& aResult);
  //! Moves the records into the result; false if their frames are malformed.
  bool ExtractRecords(Reading& aReading, const HttpResponse& aAnswer, ReadResult& aResult);
  void Count(const char* aRequest, LogStatus aStatus);
  void ReportFailure(const char* aRequest,
                     const std::string& aTopic,
                     LogStatus aStatus,
                     const HttpResponse& aAnswer);
  void ReportMalformed(const std::string& aTopic, const char* aReason);

  common::EventLoop& loop_;
  HttpLogSettings settings_;
  common::Counters& counters_;
  HttpClient client_;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_HttpLog_h
