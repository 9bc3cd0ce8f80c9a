#include "dandelionstand/platform/HttpLog.h"

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/platform/RecordFrames.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>
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

std::string RecordsTarget(const StreamName& aStream)
{
  return "/v1/streams/" + aStream.Get() + "/records";
}

std::optional<std::uint64_t> ParseNumber(const std::string& aText)
{
  std::uint64_t number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<common::Offset> OffsetHeader(const HttpAnswer& aAnswer, const char* aName)
{
  const auto header = aAnswer.headers_.find(aName);
  if (header == aAnswer.headers_.end()) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> number = ParseNumber(header->second);
  return number ? std::optional(common::Offset(*number)) : std::nullopt;
}

std::optional<common::Offset> OffsetInBody(const std::string& aBody)
{
  const nlohmann::json body = nlohmann::json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.contains("offset") || !body["offset"].is_number_unsigned()) {
    return std::nullopt;
  }
  return common::Offset(body["offset"].get<std::uint64_t>());
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

LogStatus ToLogStatus(const HttpAnswer& aAnswer)
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
  Reading(StreamName aStream, FrameReader aFrames)
    : stream_(std::move(aStream))
    , frames_(std::move(aFrames))
  {
  }

  StreamName stream_;
  FrameReader frames_;
};

HttpLog::HttpLog(common::EventLoop& aLoop, HttpLogSettings aSettings, common::Counters& aCounters)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , counters_(aCounters)
  , client_(aLoop, { .address_ = settings_.address_, .sourceAddress_ = settings_.sourceAddress_ })
{
}

void HttpLog::Append(const StreamName& aStream, std::string aData, AppendCallback aCallback)
{
  if (aData.size() > kMaxRecordBytes) {
    RefuseAppend(aStream, LogStatus::kRejected, std::move(aCallback));
    return;
  }
  if (IsFull()) {
    RefuseAppend(aStream, LogStatus::kOverloaded, std::move(aCallback));
    return;
  }
  HttpRequest request;
  request.method_ = HttpMethod::kPost;
  request.target_ = RecordsTarget(aStream);
  request.body_ = std::move(aData);
  request.timeout_ = settings_.timeout_;
  client_.Send(std::move(request),
               [this, aStream, callback = std::move(aCallback)](const HttpAnswer& aAnswer) {
                 callback(ToAppendResult(aStream, aAnswer));
               });
}

void HttpLog::RefuseAppend(const StreamName& aStream, LogStatus aStatus, AppendCallback aCallback)
{
  Count("appends", aStatus);
  common::LogEvent(common::Severity::kError,
                   "log_append_refused",
                   { { "stream", aStream.Get() }, { "status", ToText(aStatus) } });
  loop_.Post([aStatus, callback = std::move(aCallback)]() {
    callback({ .status_ = aStatus, .offset_ = {} });
  });
}

void HttpLog::Read(const StreamName& aStream,
                   common::Offset aFrom,
                   common::Duration aWait,
                   ReadCallback aCallback)
{
  if (IsFull()) {
    Count("reads", LogStatus::kOverloaded);
    loop_.Post([callback = std::move(aCallback)]() {
      callback({ .status_ = LogStatus::kOverloaded, .records_ = {}, .first_ = {}, .next_ = {} });
    });
    return;
  }
  auto reading = std::make_shared<Reading>(
    aStream, FrameReader(aFrom, kMaxRecordBytes, settings_.maxReadBytes_));
  HttpRequest request;
  request.target_ = RecordsTarget(aStream) + "?from=" + std::to_string(aFrom.Get()) +
                    "&wait_ms=" + std::to_string(ToMilliseconds(aWait));
  request.timeout_ = settings_.timeout_ + aWait;
  request.onBody_ = [reading](std::string_view aPiece) { return reading->frames_.Feed(aPiece); };
  client_.Send(std::move(request),
               [this, reading, callback = std::move(aCallback)](const HttpAnswer& aAnswer) {
                 callback(ToReadResult(*reading, aAnswer));
               });
}

AppendResult HttpLog::ToAppendResult(const StreamName& aStream, const HttpAnswer& aAnswer)
{
  AppendResult result;
  result.status_ = ToLogStatus(aAnswer);
  if (result.status_ != LogStatus::kOk) {
    ReportFailure("append", aStream, result.status_, aAnswer);
  } else if (const std::optional<common::Offset> offset = OffsetInBody(aAnswer.body_)) {
    result.offset_ = *offset;
  } else {
    ReportMalformed(aStream, "append answer without an offset");
    result.status_ = LogStatus::kUnavailable;
  }
  Count("appends", result.status_);
  return result;
}

ReadResult HttpLog::ToReadResult(Reading& aReading, const HttpAnswer& aAnswer)
{
  ReadResult result;
  result.status_ = ToLogStatus(aAnswer);
  if (result.status_ != LogStatus::kOk) {
    ReportFailure("read", aReading.stream_, result.status_, aAnswer);
  }
  const bool hasOffsets = result.status_ == LogStatus::kOk || result.status_ == LogStatus::kGap;
  const bool hasRecords = result.status_ == LogStatus::kOk;
  if ((hasOffsets && !ReadOffsets(aReading, aAnswer, result)) ||
      (hasRecords && !TakeRecords(aReading, aAnswer, result))) {
    result = ReadResult();
  }
  Count("reads", result.status_);
  return result;
}

bool HttpLog::ReadOffsets(const Reading& aReading, const HttpAnswer& aAnswer, ReadResult& aResult)
{
  const std::optional<common::Offset> first = OffsetHeader(aAnswer, "log-first");
  const std::optional<common::Offset> next = OffsetHeader(aAnswer, "log-next");
  if (!first || !next || *first > *next) {
    ReportMalformed(aReading.stream_, "answer without valid Log-First and Log-Next");
    return false;
  }
  aResult.first_ = *first;
  aResult.next_ = *next;
  return true;
}

bool HttpLog::TakeRecords(Reading& aReading, const HttpAnswer& aAnswer, ReadResult& aResult)
{
  const bool isCut = aAnswer.outcome_ == HttpOutcome::kAnswered && !aReading.frames_.IsAtFrameEnd();
  aResult.records_ = aReading.frames_.TakeRecords();
  const bool isBeyondEnd =
    !aResult.records_.empty() && aResult.records_.back().offset_ >= aResult.next_;
  if (aReading.frames_.IsMalformed() || isCut || isBeyondEnd) {
    ReportMalformed(aReading.stream_, "malformed record frames");
    return false;
  }
  if (const std::uint64_t oversized = aReading.frames_.OversizedCount(); oversized > 0) {
    counters_.Add("log_oversized_records_total", oversized);
    common::LogEvent(common::Severity::kError,
                     "log_record_oversized",
                     { { "stream", aReading.stream_.Get() },
                       { "offset", aResult.records_.back().offset_.Get() } });
  }
  return true;
}

void HttpLog::Count(const char* aRequest, LogStatus aStatus)
{
  counters_.Add(std::string("log_") + aRequest + "_total{outcome=\"" + ToText(aStatus) + "\"}");
}

void HttpLog::ReportFailure(const char* aRequest,
                            const StreamName& aStream,
                            LogStatus aStatus,
                            const HttpAnswer& aAnswer)
{
  common::LogEvent(common::Severity::kWarn,
                   "log_request_failed",
                   { { "request", aRequest },
                     { "stream", aStream.Get() },
                     { "status", ToText(aStatus) },
                     { "http_status", static_cast<std::uint64_t>(aAnswer.status_) },
                     { "reason", ToText(aAnswer.outcome_) } });
}

void HttpLog::ReportMalformed(const StreamName& aStream, const char* aReason)
{
  counters_.Add("log_malformed_answers_total");
  common::LogEvent(common::Severity::kError,
                   "log_answer_malformed",
                   { { "stream", aStream.Get() }, { "reason", aReason } });
}

} // namespace dandelionstand::platform
