#include "dandelionstand/load/HttpCaller.h"

#include "dandelionstand/load/BodyCheck.h"

#include <cstdlib>
#include <memory>
#include <utility>

namespace dandelionstand::load {

namespace {

using platform::HttpOutcome;
using platform::HttpResponse;

std::string FindHeader(const HttpResponse& aResponse, const std::string& aName)
{
  const auto found = aResponse.headers_.find(aName);
  return found == aResponse.headers_.end() ? "" : found->second;
}

std::optional<std::uint64_t> ParseNumberHeader(const HttpResponse& aResponse,
                                               const std::string& aName)
{
  const std::string text = FindHeader(aResponse, aName);
  if (text.empty()) {
    return std::nullopt;
  }
  return std::strtoull(text.c_str(), nullptr, 10);
}

Answer ToAnswer(const HttpResponse& aResponse, const BodyCheck& aBodyCheck)
{
  Answer answer;
  const bool isAnswered = aResponse.outcome_ == HttpOutcome::kAnswered;
  answer.status_ = isAnswered ? aResponse.status_ : 0;
  answer.isBodyComplete_ = isAnswered;
  answer.identity_ = FindHeader(aResponse, "request-identity");
  answer.runState_ = FindHeader(aResponse, "dandelion-run");
  answer.reason_ = FindHeader(aResponse, "dandelion-reason");
  answer.contentLength_ = ParseNumberHeader(aResponse, "content-length");
  answer.bodyBytes_ = aBodyCheck.ByteCount();
  answer.hasExpectedBody_ = aBodyCheck.IsMatch();
  return answer;
}

platform::HttpRequest ToRequest(const CallPlan& aPlan)
{
  platform::HttpRequest request;
  request.method_ =
    aPlan.method_ == "POST" ? platform::HttpMethod::kPost : platform::HttpMethod::kGet;
  request.target_ = aPlan.path_;
  request.headers_["Request-Identity"] = aPlan.identity_;
  if (!aPlan.idempotencyKey_.empty()) {
    request.headers_["Idempotency-Key"] = aPlan.idempotencyKey_;
  }
  return request;
}

} // namespace

HttpCaller::HttpCaller(common::EventLoop& aLoop, HttpCallerSettings aSettings)
  : settings_(std::move(aSettings))
  , client_(aLoop,
            { .address_ = settings_.address_, .maxIdleConnections_ = settings_.connections_ })
{
}

void HttpCaller::Call(CallPlan aPlan, Callback aCallback)
{
  if (client_.InFlightCount() < settings_.connections_) {
    Send(aPlan, std::move(aCallback));
  } else {
    pendingCalls_.push_back({ std::move(aPlan), std::move(aCallback) });
  }
}

void HttpCaller::Send(const CallPlan& aPlan, Callback aCallback)
{
  const auto bodyCheck = std::make_shared<BodyCheck>(aPlan.identity_);
  platform::HttpRequest request = ToRequest(aPlan);
  request.timeout_ = settings_.timeout_;
  request.onBody_ = [bodyCheck](std::string_view aChunk) {
    bodyCheck->Consume(aChunk);
    return true;
  };
  client_.Send(std::move(request),
               [this, bodyCheck, callback = std::move(aCallback)](const HttpResponse& aResponse) {
                 const auto attempts =
                   ParseNumberHeader(aResponse, "dandelion-attempts").value_or(1);
                 callback(ToAnswer(aResponse, *bodyCheck), static_cast<std::uint32_t>(attempts));
                 SendNext();
               });
}

void HttpCaller::SendNext()
{
  if (pendingCalls_.empty() || client_.InFlightCount() >= settings_.connections_) {
    return;
  }
  PendingCall next = std::move(pendingCalls_.front());
  pendingCalls_.pop_front();
  Send(next.plan_, std::move(next.callback_));
}

} // namespace dandelionstand::load
