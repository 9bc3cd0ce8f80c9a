#include "dandelionstand/platform/HttpLog.h"

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/platform/Base64.h"
#include "dandelionstand/platform/RecordFrames.h"

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <optional>
#include <utility>

namespace dandelionstand::platform {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusGone = 410;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusTooManyRequests = 429;

//! The service counts offsets from 0, the product from 1.
constexpr std::uint64_t kFirstOffset = 1;
//! Most of the newest-records answer's body that is kept; the service ends a page at 1 MB of
//! values, which are written in base64.
constexpr std::size_t kMaxPageBytes = std::size_t{ 4 } * 1024 * 1024;
const std::string kKeyedPrefix = "keyed.";

//! The call of the service on the only partition that a stream has.
std::string TargetOf(const char* aCall, const std::string& aTopic)
{
  return std::string("/dandelionstand/") + aCall + "?topic=" + aTopic + "&part=0";
}

std::string KeyedTopic(const StreamName& aStream)
{
  return kKeyedPrefix + aStream.Get();
}

std::optional<common::Offset> OffsetInBody(const nlohmann::json& aBody, const char* aName)
{
  if (!aBody.is_object() || !aBody.contains(aName) || !aBody[aName].is_number_unsigned()) {
    return std::nullopt;
  }
  return common::Offset(aBody[aName].get<std::uint64_t>() + kFirstOffset);
}

std::optional<common::Offset> OffsetInBody(const std::string& aBody, const char* aName)
{
  return OffsetInBody(nlohmann::json::parse(aBody, nullptr, false), aName);
}

//! The newest record that an item of a page holds; none if the item is malformed.
std::optional<KeyedRecord> RecordOf(const nlohmann::json& aItem)
{
  const std::optional<common::Offset> offset = OffsetInBody(aItem, "offset");
  if (!offset || !aItem.contains("key") || !aItem["key"].is_string() || !aItem.contains("value") ||
      !aItem["value"].is_string()) {
    return std::nullopt;
  }
  KeyedRecord record;
  record.key_ = aItem["key"].get<std::string>();
  record.offset_ = *offset;
  if (!DecodeBase64(aItem["value"].get<std::string>(), record.data_)) {
    return std::nullopt;
  }
  return record;
}

std::string EscapeQuery(const std::string& aText)
{
  char* escaped = evhttp_uriencode(aText.data(), static_cast<ev_ssize_t>(aText.size()), 0);
  std::string result = escaped == nullptr ? "" : escaped;
  std::free(escaped);
  return result;
}

const char* ToText(LogStatus aStatus)
{
  switch (aStatus) {
    case LogStatus::kOk:
      return "ok";
    case LogStatus::kUnavailable:
      return "unavailable";
    case LogStatus::kOverloaded:
      return "overloaded";
    case LogStatus::kGap:
      return "gap";
    case LogStatus::kRejected:
      return "rejected";
  }
  return "unknown";
}

const char* ToText(HttpOutcome aOutcome)
{
  switch (aOutcome) {
    case HttpOutcome::kAnswered:
      return "answered";
    case HttpOutcome::kEndedEarly:
      return "ended-early";
    case HttpOutcome::kTimedOut:
      return "timed-out";
    case HttpOutcome::kFailed:
      return "failed";
  }
  return "unknown";
}

LogStatus ToLogStatus(const HttpResponse& aAnswer)
{
  if (aAnswer.outcome_ != HttpOutcome::kAnswered && aAnswer.outcome_ != HttpOutcome::kEndedEarly) {
    return LogStatus::kUnavailable;
  }
  switch (aAnswer.status_) {
    case kStatusOk:
      return LogStatus::kOk;
    case kStatusGone:
      return LogStatus::kGap;
    case kStatusTooManyRequests:
      return LogStatus::kOverloaded;
    case kStatusBadRequest:
    case kStatusNotFound:
    case kStatusTooLarge:
      return LogStatus::kRejected;
    default:
      return LogStatus::kUnavailable;
  }
}

std::uint64_t ToMilliseconds(common::Duration aDuration)
{
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

} // namespace

//! The state of one read until its answer is whole.
class HttpLog::Reading
{
public:
  Reading(std::string aTopic, FrameReader aFrames)
    : topic_(std::move(aTopic))
    , frames_(std::move(aFrames))
  {
  }

  std::string topic_;
  FrameReader frames_;
};

struct HttpLog::Pages
{
  std::string topic_;
  std::string after_; //!< The last key of the page before.
  KeyedReadResult result_;
  KeyedReadCallback callback_;
};

HttpLog::HttpLog(common::EventLoop& aLoop, HttpLogSettings aSettings, common::Counters& aCounters)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , counters_(aCounters)
  , client_(aLoop,
            { .address_ = settings_.address_,
              .sourceAddress_ = settings_.sourceAddress_,
              .maxBodyBytes_ = kMaxPageBytes })
{
}

void HttpLog::Append(const StreamName& aStream, std::string aData, AppendCallback aCallback)
{
  AppendTo(aStream.Get(), aData, std::move(aCallback));
}

void HttpLog::AppendKeyed(const StreamName& aStream,
                          const std::string& aKey,
                          const std::string& aData,
                          AppendCallback aCallback)
{
  AppendTo(KeyedTopic(aStream), EncodeKeyedRecord(aKey, aData), std::move(aCallback));
}

void HttpLog::AppendTo(const std::string& aTopic,
                       const std::string& aRecord,
                       AppendCallback aCallback)
{
  if (aRecord.size() > kMaxRecordBytes) {
    RefuseAppend(aTopic, LogStatus::kRejected, std::move(aCallback));
    return;
  }
  if (IsFull()) {
    RefuseAppend(aTopic, LogStatus::kOverloaded, std::move(aCallback));
    return;
  }
  HttpRequest request;
  request.method_ = HttpMethod::kPost;
  request.target_ = TargetOf("log-append", aTopic);
  AppendFrame(aRecord, request.body_);
  request.timeout_ = settings_.timeout_;
  client_.Send(std::move(request),
               [this, aTopic, callback = std::move(aCallback)](const HttpResponse& aAnswer) {
                 callback(ToAppendResult(aTopic, aAnswer));
               });
}

void HttpLog::RefuseAppend(const std::string& aTopic, LogStatus aStatus, AppendCallback aCallback)
{
  Count("appends", aStatus);
  common::LogEvent(common::Severity::kError,
                   "log_append_refused",
                   { { "stream", aTopic }, { "status", ToText(aStatus) } });
  loop_.Post([aStatus, callback = std::move(aCallback)]() {
    callback({ .status_ = aStatus, .offset_ = {} });
  });
}

void HttpLog::Read(const StreamName& aStream,
                   common::Offset aFrom,
                   common::Duration aWait,
                   ReadCallback aCallback)
{
  ReadFrom(aStream.Get(), aFrom, aWait, std::move(aCallback));
}

void HttpLog::ReadKeyed(const StreamName& aStream,
                        common::Offset aFrom,
                        common::Duration aWait,
                        KeyedReadCallback aCallback)
{
  const std::string topic = KeyedTopic(aStream);
  ReadFrom(
    topic, aFrom, aWait, [this, topic, callback = std::move(aCallback)](const ReadResult& aResult) {
      KeyedReadResult keyed{ aResult.status_, {}, aResult.endOffset_ };
      for (const Record& record : aResult.records_) {
        KeyedRecord split{ "", "", record.offset_ };
        keyed.nextOffset_ = common::Offset(record.offset_.Get() + 1);
        if (DecodeKeyedRecord(record.data_, split.key_, split.data_)) {
          keyed.records_.push_back(std::move(split));
        } else {
          ReportMalformed(topic, "record without a key");
        }
      }
      callback(keyed);
    });
}

void HttpLog::ReadFrom(const std::string& aTopic,
                       common::Offset aFrom,
                       common::Duration aWait,
                       ReadCallback aCallback)
{
  if (IsFull()) {
    Count("reads", LogStatus::kOverloaded);
    loop_.Post([callback = std::move(aCallback)]() {
      callback({ .status_ = LogStatus::kOverloaded,
                 .records_ = {},
                 .firstOffset_ = {},
                 .endOffset_ = {} });
    });
    return;
  }
  auto reading =
    std::make_shared<Reading>(aTopic, FrameReader(aFrom, kMaxRecordBytes, settings_.maxReadBytes_));
  HttpRequest request;
  request.target_ = TargetOf("log-read", aTopic) +
                    "&from=" + std::to_string(aFrom.Get() - kFirstOffset) +
                    "&wait-ms=" + std::to_string(ToMilliseconds(aWait));
  request.timeout_ = settings_.timeout_ + aWait;
  request.onBody_ = [reading](std::string_view aPiece) { return reading->frames_.Feed(aPiece); };
  client_.Send(std::move(request),
               [this, reading, callback = std::move(aCallback)](const HttpResponse& aAnswer) {
                 callback(ToReadResult(*reading, aAnswer));
               });
}

void HttpLog::ReadNewest(const StreamName& aStream, KeyedReadCallback aCallback)
{
  auto pages = std::make_shared<Pages>();
  pages->topic_ = KeyedTopic(aStream);
  pages->callback_ = std::move(aCallback);
  if (IsFull()) {
    Count("reads", LogStatus::kOverloaded);
    pages->result_.status_ = LogStatus::kOverloaded;
    loop_.Post([pages] { pages->callback_(pages->result_); });
    return;
  }
  ReadPage(pages);
}

void HttpLog::ReadPage(const std::shared_ptr<Pages>& aPages)
{
  HttpRequest request;
  request.target_ = TargetOf("log-newest", aPages->topic_);
  if (!aPages->after_.empty()) {
    request.target_ += "&after=" + EscapeQuery(aPages->after_);
  }
  request.timeout_ = settings_.timeout_;
  client_.Send(std::move(request),
               [this, aPages](const HttpResponse& aAnswer) { OnPage(aPages, aAnswer); });
}

void HttpLog::OnPage(const std::shared_ptr<Pages>& aPages, const HttpResponse& aAnswer)
{
  KeyedReadResult& result = aPages->result_;
  result.status_ = ToLogStatus(aAnswer);
  Count("reads", result.status_);
  if (result.status_ != LogStatus::kOk) {
    ReportFailure("newest", aPages->topic_, result.status_, aAnswer);
    aPages->callback_(result);
    return;
  }
  const nlohmann::json page = nlohmann::json::parse(aAnswer.body_, nullptr, false);
  const std::optional<common::Offset> next = OffsetInBody(page, "end-offset");
  if (!next || !page.contains("items") || !page["items"].is_array()) {
    ReportMalformed(aPages->topic_, "newest records without items or end");
    result.status_ = LogStatus::kUnavailable;
    aPages->callback_(result);
    return;
  }
  // Pages are no snapshot: what is newer than the first page is read again from there.
  result.nextOffset_ = result.nextOffset_.Get() == 0 ? *next : result.nextOffset_;
  for (const nlohmann::json& item : page["items"]) {
    if (const std::optional<KeyedRecord> record = RecordOf(item)) {
      aPages->after_ = record->key_;
      result.records_.push_back(*record);
    } else {
      ReportMalformed(aPages->topic_, "malformed item");
    }
  }
  const bool hasMore = page.value("more", false) && !page["items"].empty();
  if (hasMore) {
    ReadPage(aPages);
  } else {
    aPages->callback_(result);
  }
}

AppendResult HttpLog::ToAppendResult(const std::string& aTopic, const HttpResponse& aAnswer)
{
  AppendResult result;
  result.status_ = ToLogStatus(aAnswer);
  if (result.status_ != LogStatus::kOk) {
    ReportFailure("append", aTopic, result.status_, aAnswer);
  } else if (const auto offset = OffsetInBody(aAnswer.body_, "offset")) {
    result.offset_ = *offset;
  } else {
    ReportMalformed(aTopic, "append answer without an offset");
    result.status_ = LogStatus::kUnavailable;
  }
  Count("appends", result.status_);
  return result;
}

ReadResult HttpLog::ToReadResult(Reading& aReading, const HttpResponse& aAnswer)
{
  ReadResult result;
  result.status_ = ToLogStatus(aAnswer);
  if (result.status_ != LogStatus::kOk) {
    ReportFailure("read", aReading.topic_, result.status_, aAnswer);
  }
  if ((result.status_ == LogStatus::kGap && !ReadGap(aReading, aAnswer, result)) ||
      (result.status_ == LogStatus::kOk && !ExtractRecords(aReading, aAnswer, result))) {
    result = ReadResult();
  }
  Count("reads", result.status_);
  return result;
}

bool HttpLog::ReadGap(const Reading& aReading, const HttpResponse& aAnswer, ReadResult& aResult)
{
  const std::optional<common::Offset> first = OffsetInBody(aAnswer.body_, "first-offset");
  if (!first) {
    ReportMalformed(aReading.topic_, "gap without the first offset");
    return false;
  }
  aResult.firstOffset_ = *first;
  // The answer need not name the end; the first kept record is the least that it can be.
  aResult.endOffset_ = OffsetInBody(aAnswer.body_, "end-offset").value_or(*first);
  return true;
}

bool HttpLog::ExtractRecords(Reading& aReading, const HttpResponse& aAnswer, ReadResult& aResult)
{
  const FrameReader& frames = aReading.frames_;
  const bool isCut = aAnswer.outcome_ == HttpOutcome::kAnswered && !frames.IsAtFrameEnd();
  if (frames.IsMalformed() || isCut) {
    ReportMalformed(aReading.topic_, "malformed record frames");
    return false;
  }
  aResult.records_ = aReading.frames_.ExtractRecords();
  aResult.firstOffset_ = frames.FirstOffset();
  aResult.endOffset_ = frames.EndOffset();
  if (const std::uint64_t oversized = frames.OversizedCount(); oversized > 0) {
    counters_.Add("log_oversized_records_total", oversized);
    common::LogEvent(
      common::Severity::kError,
      "log_record_oversized",
      { { "stream", aReading.topic_ }, { "offset", aResult.records_.back().offset_.Get() } });
  }
  return true;
}

void HttpLog::Count(const char* aRequest, LogStatus aStatus)
{
  counters_.Add(std::string("log_") + aRequest + "_total{outcome=\"" + ToText(aStatus) + "\"}");
}

void HttpLog::ReportFailure(const char* aRequest,
                            const std::string& aTopic,
                            LogStatus aStatus,
                            const HttpResponse& aAnswer)
{
  common::LogEvent(common::Severity::kWarn,
                   "log_request_failed",
                   { { "request", aRequest },
                     { "stream", aTopic },
                     { "status", ToText(aStatus) },
                     { "http_status", static_cast<std::uint64_t>(aAnswer.status_) },
                     { "reason", ToText(aAnswer.outcome_) } });
}

void HttpLog::ReportMalformed(const std::string& aTopic, const char* aReason)
{
  counters_.Add("log_malformed_answers_total");
  common::LogEvent(common::Severity::kError,
                   "log_answer_malformed",
                   { { "stream", aTopic }, { "reason", aReason } });
}

} // namespace dandelionstand::platform
