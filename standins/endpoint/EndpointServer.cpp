#include "standins/endpoint/EndpointServer.h"

#include "dandelionstand/common/Time.h"
#include "standins/ControlReader.h"

#include <chrono>
#include <utility>

namespace dandelionstand::standins {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kMisdirected = 421;
constexpr std::uint32_t kError = 500;
constexpr std::uint32_t kUnavailable = 503;
constexpr common::Duration kBeatInterval = 200ms;
constexpr common::Duration kBeatTimeout = 1s;
const std::string kPrefix = "X-Dandelionstand-";

std::string HeaderOf(const http::Request& aRequest, const std::string& aName)
{
  return std::string(http::FindHeader(aRequest.headers_, kPrefix + aName));
}

} // namespace

//! One request from its start to its answer.
struct EndpointServer::Work
{
  http::ServerExchange* exchange_; //!< Null once the caller has gone.
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
              [] { return http::Limits{}; } })
  , daemon_(aLoop, { .address_ = aSettings.control_ })
  , born_(common::WallClockMs())
  , beat_(aLoop.Every(kBeatInterval, [this] { Beat(); }))
{
  Beat();
}

void EndpointServer::OnRequest(http::ServerExchange& aExchange)
{
  const http::Request request = aExchange.ExtractRequest();
  if (OnOwnPath(aExchange, request)) {
    return;
  }
  const std::string id = HeaderOf(request, "Request-Id");
  const std::string expected = HeaderOf(request, "Expected-Instance");
  const http::Header echo{ kPrefix + "Request-Id", id };
  if (!expected.empty() && expected != settings_.id_) {
    aExchange.Reply({ kMisdirected, { echo, { kPrefix + "Instance-Id", settings_.id_ } } }, "");
  } else if (behaviour_.sheds_) {
    aExchange.Reply({ kUnavailable, { echo, { kPrefix + "Not-Executed", "1" } } }, "");
  } else {
    Start(aExchange, request);
  }
}

bool EndpointServer::OnOwnPath(http::ServerExchange& aExchange, const http::Request& aRequest)
{
  if (aRequest.target_ == "/runs") {
    const nlohmann::json answer{ { "runs", runs_ }, { "acknowledged", acknowledged_ } };
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
  const std::string before = behaviour_.state_;
  reader.Read("state", behaviour_.state_);
  reader.Read("work_ms", behaviour_.work_);
  reader.Read("sheds", behaviour_.sheds_);
  reader.Read("is_silent", behaviour_.isSilent_);
  reader.Read("answer", behaviour_.answer_);
  reader.RejectUnknownKeys();
  if (behaviour_.state_ == "gone" && before != "gone") {
    Leave();
  } else if (behaviour_.state_ != before) {
    Beat();
  }
}

void EndpointServer::Start(http::ServerExchange& aExchange, const http::Request& aRequest)
{
  ++runs_[HeaderOf(aRequest, "Request-Id")];
  auto work = std::make_shared<Work>(Work{ &aExchange, aRequest, nullptr });
  aExchange.Watch([work] { work->timer_.reset(); }, nullptr);
  aExchange.SetOnEnded([work] { work->exchange_ = nullptr; });
  work->timer_ = loop_.After(behaviour_.work_, [this, work] {
    const std::shared_ptr<Work> kept = work;
    Answer(kept);
    kept->timer_.reset();
  });
}

void EndpointServer::Answer(const std::shared_ptr<Work>& aWork)
{
  http::ServerExchange* exchange = aWork->exchange_;
  if (exchange == nullptr) {
    return;
  }
  const http::Request& request = aWork->request_;
  const nlohmann::json body{ { "instance", settings_.id_ },
                             { "method", request.method_ },
                             { "target", request.target_ },
                             { "body", request.body_ },
                             { "caller", HeaderOf(request, "Caller-Service") },
                             { "deadline", HeaderOf(request, "Deadline-Milliseconds") } };
  http::ResponseHead head{ kOk, { { kPrefix + "Request-Id", HeaderOf(request, "Request-Id") } } };
  if (behaviour_.answer_ != "unsigned") {
    head.headers_.push_back({ kPrefix + "Response-Signature", "signed " + settings_.id_ });
  }
  const std::string text = body.dump();
  if (behaviour_.answer_ == "reset") {
    exchange->Abort();
  } else if (behaviour_.answer_ == "cut") {
    exchange->SendHead(head, text.size());
    exchange->SendBody(text.substr(1));
    loop_.Post([aWork] {
      if (aWork->exchange_ != nullptr) {
        aWork->exchange_->Abort();
      }
    });
  } else {
    head.status_ = behaviour_.answer_ == "error" ? kError : kOk;
    exchange->Reply(head, text);
  }
}

void EndpointServer::Beat()
{
  if (behaviour_.isSilent_ || behaviour_.state_ == "gone") {
    return;
  }
  const nlohmann::json beat{ { "service", settings_.service_ },
                             { "address", server_.BoundAddress().Get() },
                             { "zone", "zone" },
                             { "version", "v1" },
                             { "slots", settings_.slots_ },
                             { "state", behaviour_.state_ },
                             { "cold-remaining-s", 0 },
                             { "sequence", ++sequence_ },
                             { "born", born_ } };
  daemon_.Send({ .method_ = platform::HttpMethod::kPost,
                 .target_ = "/dandelionstand/instances/" + settings_.id_ + "/heartbeat",
                 .headers_ = { { "Content-Type", "application/json" } },
                 .body_ = beat.dump(),
                 .timeout_ = kBeatTimeout,
                 .onBody_ = nullptr },
               [this](const platform::HttpResponse& aAnswer) {
                 acknowledged_ += aAnswer.status_ == static_cast<int>(kOk) ? 1 : 0;
               });
}

void EndpointServer::Leave()
{
  daemon_.Send({ .method_ = platform::HttpMethod::kPost,
                 .target_ = "/dandelionstand/instances/" + settings_.id_ + "/leave",
                 .headers_ = {},
                 .body_ = "",
                 .timeout_ = kBeatTimeout,
                 .onBody_ = nullptr },
               [this](const platform::HttpResponse& aAnswer) {
                 acknowledged_ += aAnswer.status_ == static_cast<int>(kOk) ? 1 : 0;
               });
}

} // namespace dandelionstand::standins
