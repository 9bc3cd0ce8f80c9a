#include "dandelionstand/platform/PlatformDialect.h"

#include "dandelionstand/common/HttpHeaders.h"
#include "dandelionstand/dialect/NativeDialect.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>
#include <utility>

namespace dandelionstand::platform {

namespace {

using dialect::AnswerVerdict;

//! Identifies one attempt of a caller; a retry by the caller has another id.
constexpr const char* kRequestId = "X-Dandelionstand-Request-Id";
//! Time until the caller's deadline, as of sending, in ms.
constexpr const char* kDeadline = "X-Dandelionstand-Deadline-Milliseconds";
//! The service on the instance where the request originates.
constexpr const char* kCallerService = "X-Dandelionstand-Caller-Service";
//! Incarnation of the target that the request is for; any other incarnation refuses it.
constexpr const char* kExpectedInstance = "X-Dandelionstand-Expected-Instance";
//! The organisation on whose behalf the request was sent.
constexpr const char* kOrganisation = "X-Dandelionstand-Tenant";
constexpr const char* kNotExecuted = "X-Dandelionstand-Not-Executed";
//! Signature of the status and body of a target's answer.
constexpr const char* kSignature = "X-Dandelionstand-Response-Signature";

//! Requests per second that the target accepts from all instances together, as a decimal number.
constexpr const char* kServerLimit = "Server-Limit";
//! "1" while the target is shutting down.
constexpr const char* kServerLeaving = "Server-Leaving";

constexpr std::uint32_t kUnauthorized = 401;
constexpr std::uint32_t kMisdirected = 421;
constexpr std::uint32_t kFirstSuccess = 200;
constexpr std::uint32_t kFirstRedirect = 300;

//! Headers that the daemon and the target set themselves; a caller's values are not forwarded.
constexpr std::array<const char*, 5> kReservedHeaders = { kDeadline,
                                                          kCallerService,
                                                          kExpectedInstance,
                                                          kNotExecuted,
                                                          kOrganisation };

bool IsReserved(const std::string& aName)
{
  for (const char* reserved : kReservedHeaders) {
    if (common::EqualsIgnoringCase(aName, reserved)) {
      return true;
    }
  }
  return false;
}

std::uint64_t ToMilliseconds(common::Duration aDuration)
{
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

//! Parses a non-negative, finite decimal number; nullopt for any other text.
std::optional<double> ParseRate(std::string_view aText)
{
  double rate = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, rate);
  const bool isValid =
    parsed.ec == std::errc() && parsed.ptr == end && std::isfinite(rate) && rate >= 0;
  return isValid ? std::optional(rate) : std::nullopt;
}

std::string FormatSeconds(common::Duration aDuration)
{
  constexpr std::size_t kSize = 32;
  char text[kSize];
  std::snprintf(text, sizeof(text), "%.3f", std::chrono::duration<double>(aDuration).count());
  return text;
}

} // namespace

PlatformCallerDialect::PlatformCallerDialect(common::ServiceName aService)
  : service_(std::move(aService))
{
}

dialect::CallerRequest PlatformCallerDialect::ParseRequest(http::Request aRequest) const
{
  dialect::CallerRequest result;
  result.id_ = http::FindHeader(aRequest.headers_, kRequestId);
  result.clientHost_ = std::move(aRequest.clientHost_);
  result.arrivedAt_ = aRequest.arrivedAt_;
  result.completedAt_ = aRequest.completedAt_;
  result.method_ = std::move(aRequest.method_);
  result.host_ = http::FindHeader(aRequest.headers_, "Host");
  result.path_ = aRequest.Path();
  result.target_ = std::move(aRequest.target_);
  result.body_ = std::move(aRequest.body_);
  for (http::Header& header : dialect::EndToEndHeaders(aRequest.headers_)) {
    if (!IsReserved(header.name_)) {
      result.headers_.push_back(std::move(header));
    }
  }
  result.headers_.push_back({ "Host", result.host_ });
  result.headers_.push_back({ kCallerService, service_.Get() });
  const std::string_view deadline = http::FindHeader(aRequest.headers_, kDeadline);
  if (!deadline.empty()) {
    std::uint32_t milliseconds = 0;
    result.isValid_ = dialect::ParseNumber(deadline.substr(0, deadline.find('.')), milliseconds);
    result.remainingTime_ = std::chrono::milliseconds(milliseconds);
  }
  return result;
}

void PlatformCallerDialect::AddOrganisation(dialect::CallerRequest& aRequest,
                                            const common::OrganisationName& aOrganisation) const
{
  aRequest.headers_.push_back({ kOrganisation, aOrganisation.Get() });
}

http::ResponseHead PlatformCallerDialect::WriteRefusal(const dialect::Refusal& aRefusal) const
{
  http::ResponseHead head{ aRefusal.status_, { { "Content-Type", "text/plain" } } };
  if (aRefusal.retryAfter_) {
    head.headers_.push_back({ "Retry-After", FormatSeconds(*aRefusal.retryAfter_) });
  }
  if (aRefusal.status_ == kUnauthorized) {
    head.headers_.push_back({ "WWW-Authenticate", "Bearer" });
  }
  return head;
}

http::Headers PlatformTargetDialect::WriteHeaders(http::Headers aCallerHeaders,
                                                  const dialect::TargetCall& aCall) const
{
  aCallerHeaders.push_back({ kDeadline, std::to_string(ToMilliseconds(aCall.remainingTime_)) });
  if (!aCall.expectedInstance_.empty()) {
    aCallerHeaders.push_back({ kExpectedInstance, aCall.expectedInstance_ });
  }
  return aCallerHeaders;
}

AnswerVerdict PlatformTargetDialect::ClassifyAnswer(const http::Headers& aSent,
                                                    const http::ResponseHead& aAnswer) const
{
  const std::string_view sentId = http::FindHeader(aSent, kRequestId);
  const std::string_view answeredId = http::FindHeader(aAnswer.headers_, kRequestId);
  if (!answeredId.empty() && answeredId != sentId) {
    return AnswerVerdict::kOtherRequest;
  }
  if (answeredId.empty() && !sentId.empty()) {
    // Without the id it may be an earlier answer once more, so it proves nothing about this
    // request.
    return AnswerVerdict::kInvalid;
  }
  if (aAnswer.status_ == kMisdirected) {
    return AnswerVerdict::kWrongTarget;
  }
  if (!http::FindHeader(aAnswer.headers_, kNotExecuted).empty()) {
    return AnswerVerdict::kNotRun;
  }
  const bool isSuccess = aAnswer.status_ >= kFirstSuccess && aAnswer.status_ < kFirstRedirect;
  const bool isSigned = !http::FindHeader(aAnswer.headers_, kSignature).empty();
  return !answeredId.empty() && (isSigned || !isSuccess) ? AnswerVerdict::kValid
                                                         : AnswerVerdict::kInvalid;
}

dialect::TargetNotice PlatformTargetDialect::ReadNotice(const http::ResponseHead& aAnswer) const
{
  dialect::TargetNotice notice;
  const std::string_view limit = http::FindHeader(aAnswer.headers_, kServerLimit);
  if (!limit.empty()) {
    notice.maxRequestsPerSecond_ = ParseRate(limit);
    notice.hasInvalidLimit_ = !notice.maxRequestsPerSecond_;
  }
  notice.isLeaving_ = http::FindHeader(aAnswer.headers_, kServerLeaving) == "1";
  return notice;
}

} // namespace dandelionstand::platform
