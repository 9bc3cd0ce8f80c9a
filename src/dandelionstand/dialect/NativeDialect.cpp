#include "dandelionstand/dialect/NativeDialect.h"

#include "dandelionstand/common/HttpHeaders.h"
#include "dandelionstand/common/Milliseconds.h"

#include <charconv>
#include <utility>

namespace dandelionstand::dialect {

namespace {

constexpr std::uint32_t kUnauthorized = 401;
constexpr std::uint32_t kServiceUnavailable = 503;
//! Set by a target that shed the request before starting to process it.
constexpr const char* kShedHeader = "Dandelion-Shed";
//! The organisation on whose behalf the request was sent.
constexpr const char* kOrganisation = "Dandelion-Organisation";

} // namespace

bool ParseNumber(std::string_view aText, std::uint32_t& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aNumber);
  return result.ec == std::errc() && result.ptr == end && !aText.empty();
}

http::Headers EndToEndHeaders(const http::Headers& aHeaders)
{
  http::Headers headers;
  const std::string_view connection = http::FindHeader(aHeaders, "Connection");
  for (const http::Header& header : aHeaders) {
    if (common::IsEndToEndRequestHeader(header.name_, connection)) {
      headers.push_back(header);
    }
  }
  return headers;
}

CallerRequest NativeCallerDialect::ParseRequest(http::Request aRequest) const
{
  CallerRequest result;
  result.method_ = std::move(aRequest.method_);
  result.clientHost_ = std::move(aRequest.clientHost_);
  result.arrivedAt_ = aRequest.arrivedAt_;
  result.completedAt_ = aRequest.completedAt_;
  result.host_ = http::FindHeader(aRequest.headers_, "Host");
  result.path_ = aRequest.Path();
  result.target_ = std::move(aRequest.target_);
  result.headers_ = EndToEndHeaders(aRequest.headers_);
  std::erase_if(result.headers_, [](const http::Header& aHeader) {
    return common::EqualsIgnoringCase(aHeader.name_, kOrganisation);
  });
  result.body_ = std::move(aRequest.body_);
  result.idempotencyKey_ = http::FindHeader(aRequest.headers_, "Idempotency-Key");
  const std::string_view deadline = http::FindHeader(aRequest.headers_, "Deadline-Ms");
  if (!deadline.empty()) {
    std::uint32_t milliseconds = 0;
    result.isValid_ = ParseNumber(deadline, milliseconds);
    result.remainingTime_ = std::chrono::milliseconds(milliseconds);
  }
  const std::string_view depth = http::FindHeader(aRequest.headers_, "Dandelion-Depth");
  if (!depth.empty()) {
    result.isValid_ = ParseNumber(depth, result.depth_) && result.isValid_;
  }
  return result;
}

void NativeCallerDialect::AddOrganisation(CallerRequest& aRequest,
                                          const common::OrganisationName& aOrganisation) const
{
  aRequest.headers_.push_back({ kOrganisation, aOrganisation.Get() });
}

http::ResponseHead NativeCallerDialect::WriteRefusal(const Refusal& aRefusal) const
{
  http::ResponseHead head{ aRefusal.status_, {} };
  head.headers_.push_back({ "Content-Type", "text/plain" });
  head.headers_.push_back({ "Dandelion-Reason", aRefusal.reason_ });
  head.headers_.push_back({ "Dandelion-Run", std::string(ToText(aRefusal.runState_)) });
  if (aRefusal.deep_) {
    head.headers_.push_back({ "Dandelion-Deep", "1" });
  }
  if (aRefusal.status_ == kUnauthorized) {
    head.headers_.push_back({ "WWW-Authenticate", "Bearer" });
  }
  return head;
}

http::Headers NativeTargetDialect::WriteHeaders(http::Headers aCallerHeaders,
                                                const TargetCall& aCall) const
{
  aCallerHeaders.push_back({ "Host", aCall.authority_ });
  aCallerHeaders.push_back(
    { "Deadline-Ms", std::to_string(common::ToMilliseconds(aCall.remainingTime_)) });
  aCallerHeaders.push_back({ "Dandelion-Depth", std::to_string(aCall.depth_) });
  return aCallerHeaders;
}

AnswerVerdict NativeTargetDialect::ClassifyAnswer(const http::Headers&,
                                                  const http::ResponseHead& aAnswer) const
{
  const bool isShed = aAnswer.status_ == kServiceUnavailable &&
                      !http::FindHeader(aAnswer.headers_, kShedHeader).empty();
  return isShed ? AnswerVerdict::kNotRun : AnswerVerdict::kValid;
}

TargetNotice NativeTargetDialect::ReadNotice(const http::ResponseHead&) const
{
  return {};
}

} // namespace dandelionstand::dialect
