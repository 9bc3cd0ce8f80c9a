#include "standins/endpoint/EndpointServer.h"

#include "dandelionstand/common/Time.h"
#include "standins/ControlReader.h"

#include <chrono>
#include <utility>

namespace dandelionstand::standins {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxBodyBytes = 64UL * 1024 * 1024;
constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kMisdirected = 421;
constexpr std::uint32_t kError = 500;
constexpr std::uint32_t kUnavailable = 503;
constexpr common::Duration kHeartbeatInterval = 200ms;
constexpr common::Duration kRequestTimeout = 1s;
const std::string kHeaderPrefix = "X-Dandelionstand-";

std::string PlatformHeader(const http::Request& aRequest, const std::string& aName)
{
  return std::string(http::FindHeader(aRequest.headers_, kHeaderPrefix + aName));
}

} // namespace

//! A request that has started and is not yet answered.
struct EndpointServer::ActiveRequest
{
  http::ServerExchange* exchange_; //!< Null once the exchange has ended.
  http::Request request_;
  std::unique_ptr<common::Watch> timer_;
};

EndpointServer::EndpointServer(common::EventLoop& aLoop, const EndpointSettings& aSettings)
  : loop_(aLoop)
  , settings_(aSettings)
  , server_(aLoop,
            aSettings.listen_,
            { [this](http::ServerExchange& aExchange) { OnRequest(aExchange); },
              [](std::uint32_t, const std::string&) {},
              [] { return http::Limits{ .bodyBytes_ = kMaxBodyBytes }; } })
  , daemon_(aLoop, { .address_ = aSettings.daemonControl_ })
  , startedAtMs_(common::WallClockMs())
  , heartbeatTimer_(aLoop.Every(kHeartbeatInterval, [this] { SendHeartbeat(); }))
{
  SendHeartbeat();
}

void EndpointServer::OnRequest(http::ServerExchange& aExchange)
{
  const http::Request request = aExchange.ExtractRequest();
  if (HandleTestRequest(aExchange, request)) {
    return;
  }
  const std::string id = PlatformHeader(request, "Request-Id");
  const std::string expected = PlatformHeader(request, "Expected-Instance");
  const http::Header echo{ kHeaderPrefix + "Request-Id", id };
  if (!expected.empty() && expected != settings_.instanceId_) {
    aExchange.Reply(
      { kMisdirected, { echo, { kHeaderPrefix + "Instance-Id", settings_.instanceId_ } } }, "");
  } else if (behaviour_.isShedding_) {
    aExchange.Reply({ kUnavailable, { echo, { kHeaderPrefix + "Not-Executed", "1" } } }, "");
  } else {
    StartRequest(aExchange, request);
  }
}

bool EndpointServer::HandleTestRequest(http::ServerExchange& aExchange,
                                       const http::Request& aRequest)
{
  if (aRequest.target_ == "/runs") {
    const nlohmann::json answer{ { "runs", runs_ },
                                 { "arrivals", arrivals_ },
                                 { "acknowledged", acknowledged_ },
                                 { "born", startedAtMs_ },
                                 { "sequence", sequence_ } };
    aExchange.Reply({ kOk, {} }, answer.dump());
    return true;
  }
  if (aRequest.target_ == "/control") {
    SetBehaviour(aRequest.body_);
    aExchange.Reply({ kOk, {} }, "{}");
    return true;
  }
  return false;
}

void EndpointServer::SetBehaviour(const std::string& aText)
{
  ControlReader reader(aText);
  const std::string previousState = behaviour_.state_;
  reader.Read("state", behaviour_.state_);
  reader.Read("work_ms", behaviour_.workDuration_);
  reader.Read("sheds", behaviour_.isShedding_);
  reader.Read("is_silent", behaviour_.isHeartbeatStopped_);
  reader.Read("limit", behaviour_.limit_);
  reader.Read("leaving", behaviour_.isLeaving_);
  reader.Read("answer", behaviour_.answerMode_);
  reader.RejectUnknownKeys();
  if (behaviour_.state_ == "gone" && previousState != "gone") {
    SendLeave();
  } else if (behaviour_.state_ != previousState) {
    SendHeartbeat();
  }
}

void EndpointServer::StartRequest(http::ServerExchange& aExchange, const http::Request& aRequest)
{
  arrivals_.push_back(common::WallClockMs() - startedAtMs_);
  ++runs_[PlatformHeader(aRequest, "Request-Id")];
  auto activeRequest =
    std::make_shared<ActiveRequest>(ActiveRequest{ &aExchange, aRequest, nullptr });
  aExchange.Watch([activeRequest] { activeRequest->timer_.reset(); }, nullptr);
  aExchange.SetOnEnded([activeRequest](bool) { activeRequest->exchange_ = nullptr; });
  activeRequest->timer_ = loop_.After(behaviour_.workDuration_, [this, activeRequest] {
    const std::shared_ptr<ActiveRequest> keepAlive = activeRequest;
    Answer(keepAlive);
    keepAlive->timer_.reset();
  });
}

http::Headers EndpointServer::NoticeHeaders() const
{
  http::Headers headers;
  if (behaviour_.limit_ > 0) {
    headers.push_back({ "Server-Limit", std::to_string(behaviour_.limit_) + ".0" });
  }
  if (behaviour_.isLeaving_) {
    headers.push_back({ "Server-Leaving", "1" });
  }
  return headers;
}

void EndpointServer::Answer(const std::shared_ptr<ActiveRequest>& aActiveRequest)
{
  http::ServerExchange* exchange = aActiveRequest->exchange_;
  if (exchange == nullptr) {
    return;
  }
  const http::Request& request = aActiveRequest->request_;
  const nlohmann::json body{ { "instance", settings_.instanceId_ },
                             { "method", request.method_ },
                             { "target", request.target_ },
                             { "body", request.body_ },
                             { "caller", PlatformHeader(request, "Caller-Service") },
                             { "deadline", PlatformHeader(request, "Deadline-Milliseconds") },
                             { "organisation", PlatformHeader(request, "Tenant") },
                             { "authorization",
                               std::string(http::FindHeader(request.headers_, "Authorization")) } };
  http::ResponseHead head{
    kOk, { { kHeaderPrefix + "Request-Id", PlatformHeader(request, "Request-Id") } }
  };
  if (behaviour_.answerMode_ != "unsigned") {
    head.headers_.push_back(
      { kHeaderPrefix + "Response-Signature", "signed " + settings_.instanceId_ });
  }
  for (http::Header& header : NoticeHeaders()) {
    head.headers_.push_back(std::move(header));
  }
  const std::string text = body.dump();
  if (behaviour_.answerMode_ == "reset") {
    exchange->Abort();
  } else if (behaviour_.answerMode_ == "cut") {
    exchange->SendHead(head, text.size());
    exchange->SendBody(text.substr(1));
    loop_.Post([aActiveRequest] {
      if (aActiveRequest->exchange_ != nullptr) {
        aActiveRequest->exchange_->Abort();
      }
    });
  } else {
    head.status_ = behaviour_.answerMode_ == "error" ? kError : kOk;
    exchange->Reply(head, text);
  }
}

void EndpointServer::SendHeartbeat()
{
  if (behaviour_.isHeartbeatStopped_ || behaviour_.state_ == "gone") {
    return;
  }
  const nlohmann::json heartbeat{ { "service", settings_.service_ },
                                  { "address", server_.BoundAddress().Get() },
                                  { "zone", "zone" },
                                  { "version", "v1" },
                                  { "slots", settings_.slots_ },
                                  { "state", behaviour_.state_ },
                                  { "cold-remaining-s", 0 },
                                  { "sequence", ++sequence_ },
                                  { "born", startedAtMs_ } };
  daemon_.Send({ .method_ = platform::HttpMethod::kPost,
                 .target_ = "/dandelionstand/instances/" + settings_.instanceId_ + "/heartbeat",
                 .headers_ = { { "Content-Type", "application/json" } },
                 .body_ = heartbeat.dump(),
                 .timeout_ = kRequestTimeout,
                 .onBody_ = nullptr },
               [this](const platform::HttpResponse& aAnswer) {
                 acknowledged_ += aAnswer.status_ == static_cast<int>(kOk) ? 1 : 0;
               });
}

void EndpointServer::SendLeave()
{
  daemon_.Send({ .method_ = platform::HttpMethod::kPost,
                 .target_ = "/dandelionstand/instances/" + settings_.instanceId_ + "/leave",
                 .headers_ = { { "Content-Type", "application/json" } },
                 .body_ = nlohmann::json{ { "born", startedAtMs_ } }.dump(),
                 .timeout_ = kRequestTimeout,
                 .onBody_ = nullptr },
               [this](const platform::HttpResponse& aAnswer) {
                 acknowledged_ += aAnswer.status_ == static_cast<int>(kOk) ? 1 : 0;
               });
}

} // namespace dandelionstand::standins
