#include "dandelionstand/load/HttpCaller.h"

#include "dandelionstand/load/BodyCheck.h"

#include <cstdlib>
#include <memory>
#include <utility>

namespace dandelionstand::load {

namespace {

using platform::HttpOutcome;
using platform::HttpResponse;

std::string HeaderOf(const HttpResponse& aAnswer, const std::string& aName)
{
  const auto found = aAnswer.headers_.find(aName);
  return found == aAnswer.headers_.end() ? "" : found->second;
}

std::optional<std::uint64_t> NumberOf(const HttpResponse& aAnswer, const std::string& aName)
{
  const std::string text = HeaderOf(aAnswer, aName);
  if (text.empty()) {
    return std::nullopt;
  }
  return std::strtoull(text.c_str(), nullptr, 10);
}

Answer ToAnswer(const HttpResponse& aAnswer, const BodyCheck& aBody)
{
  Answer answer;
  const bool isAnswered = aAnswer.outcome_ == HttpOutcome::kAnswered;
  answer.status_ = isAnswered ? aAnswer.status_ : 0;
  answer.isEnded_ = isAnswered;
  answer.identity_ = HeaderOf(aAnswer, "request-identity");
  answer.runState_ = HeaderOf(aAnswer, "dandelion-run");
  answer.reason_ = HeaderOf(aAnswer, "dandelion-reason");
  answer.contentLength_ = NumberOf(aAnswer, "content-length");
  answer.bodyBytes_ = aBody.Bytes();
  answer.isBodyOwn_ = aBody.IsOwn();
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
    waiting_.push_back({ std::move(aPlan), std::move(aCallback) });
  }
}

void HttpCaller::Send(const CallPlan& aPlan, Callback aCallback)
{
  const auto body = std::make_shared<BodyCheck>(aPlan.identity_);
  platform::HttpRequest request = ToRequest(aPlan);
  request.timeout_ = settings_.timeout_;
  request.onBody_ = [body](std::string_view aPiece) {
    body->Take(aPiece);
    return true;
  };
  client_.Send(std::move(request),
               [this, body, callback = std::move(aCallback)](const HttpResponse& aAnswer) {
                 const auto attempts = NumberOf(aAnswer, "dandelion-attempts").value_or(1);
                 callback(ToAnswer(aAnswer, *body), static_cast<std::uint32_t>(attempts));
                 SendNext();
               });
}

void HttpCaller::SendNext()
{
  if (waiting_.empty() || client_.InFlightCount() >= settings_.connections_) {
    return;
  }
  Waiting next = std::move(waiting_.front());
  waiting_.pop_front();
  Send(next.plan_, std::move(next.callback_));
}

} // namespace dandelionstand::load
