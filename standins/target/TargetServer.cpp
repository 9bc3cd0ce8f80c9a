#include "standins/target/TargetServer.h"

#include "standins/ControlReader.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace dandelionstand::standins {

namespace {

constexpr int kOk = 200;
constexpr int kPartialContent = 206;
constexpr int kBadRequest = 400;
constexpr int kRangeNotSatisfiable = 416;
constexpr int kUnavailable = 503;
constexpr std::uint64_t kDefaultBodyBytes = 1024;
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{ 1024 } * 1024 * 1024;
//! Bodies of at least this size have an ETag, support ranges and are streamed.
constexpr std::uint64_t kMinDownloadBytes = 65'536;

std::optional<std::uint64_t> DeadlineMs(const ServerRequest& aRequest)
{
  const std::string text = aRequest.Header("deadline-ms");
  if (text.empty()) {
    return std::nullopt;
  }
  return std::strtoull(text.c_str(), nullptr, 10);
}

//! A Range header is ignored if the ETag in If-Range differs.
bool IsRangeRequested(const ServerRequest& aRequest, const std::string& aEtag)
{
  const std::string condition = aRequest.Header("if-range");
  return !aRequest.Header("range").empty() && (condition.empty() || condition == aEtag);
}

std::string ContentRange(const ByteRange& aRange, std::uint64_t aSize)
{
  return "bytes " + std::to_string(aRange.first_) + "-" + std::to_string(aRange.last_) + "/" +
         std::to_string(aSize);
}

//! False if the range is not in the content or malformed.
bool ApplyRange(const ServerRequest& aRequest, const Content& aContent, ResponseOptions& aOptions)
{
  const std::optional<ByteRange> range = ParseRange(aRequest.Header("range"), aContent.Size());
  if (!range) {
    return false;
  }
  aOptions.status_ = kPartialContent;
  aOptions.range_ = *range;
  aOptions.headers_["Content-Range"] = ContentRange(*range, aContent.Size());
  return true;
}

Content ContentOf(const ServerRequest& aRequest, std::uint64_t aVersion)
{
  const bool hasPattern = aRequest.query_.contains("pattern");
  return Content(aRequest.Header("request-identity"),
                 aRequest.QueryNumber("bytes", kDefaultBodyBytes),
                 aVersion,
                 hasPattern ? Filler::kPosition : Filler::kConstant);
}

} // namespace

TargetServer::TargetServer(common::EventLoop& aLoop, Settings aSettings)
  : loop_(aLoop)
  , service_(std::move(aSettings.service_))
  , behaviour_(aSettings.behaviour_)
  , coldUntil_(common::Now() + behaviour_.coldDuration_)
  , runs_(aSettings.runFile_)
  , server_(aLoop, aSettings.listen_, [this](const ServerRequest& aRequest) {
    OnRequest(aRequest);
  })
{
}

TargetServer::TargetServer(common::EventLoop& aLoop,
                           const common::Address& aListen,
                           std::string aService)
  : TargetServer(aLoop,
                 Settings{ .listen_ = aListen,
                           .service_ = std::move(aService),
                           .runFile_ = "",
                           .behaviour_ = {} })
{
}

TargetServer::~TargetServer() = default;

void TargetServer::OnRequest(const ServerRequest& aRequest)
{
  if (aRequest.path_ == "/control" && aRequest.method_ == "POST") {
    OnControl(aRequest);
  } else if (aRequest.path_ == "/runs") {
    SendRuns(aRequest);
  } else if (aRequest.path_ == "/stats") {
    SendStats(aRequest);
  } else if (aRequest.path_ == "/health") {
    SendHealth(aRequest);
  } else if (aRequest.path_ == "/load") {
    SendLoad(aRequest);
  } else {
    AcceptRequest(aRequest);
  }
}

void TargetServer::OnControl(const ServerRequest& aRequest)
{
  const bool wasReady = behaviour_.isReady_;
  try {
    behaviour_ = ReadTargetControl(aRequest.body_, behaviour_);
  } catch (const std::invalid_argument& error) {
    SendText(*aRequest.responder_, kBadRequest, error.what());
    return;
  }
  coldUntil_ = common::Now() + behaviour_.coldDuration_;
  if (behaviour_.isReady_ != wasReady && onReadyChanged_) {
    onReadyChanged_(behaviour_.isReady_);
  }
  SendJson(*aRequest.responder_, nlohmann::json::object());
}

void TargetServer::SendRuns(const ServerRequest& aRequest) const
{
  const bool isByIdentity =
    aRequest.query_.contains("by") && aRequest.query_.at("by") == "identity";
  SendJson(*aRequest.responder_, isByIdentity ? runs_.ByIdentity() : runs_.ByKey());
}

void TargetServer::SendStats(const ServerRequest& aRequest) const
{
  SendJson(*aRequest.responder_,
           { { "requests", stats_.requests_ },
             { "answered", stats_.answered_ },
             { "shed", stats_.shed_ },
             { "hopeless", stats_.unservable_ },
             { "cancelled", stats_.cancelled_ },
             { "broken_off", stats_.brokenOff_ },
             { "with_deadline", stats_.withDeadline_ },
             { "last_deadline_ms", stats_.lastDeadlineMs_ },
             { "most_at_once", stats_.maxInFlight_ },
             { "in_flight", activeRequests_.size() } });
}

void TargetServer::SendHealth(const ServerRequest& aRequest) const
{
  const bool isHealthy =
    behaviour_.isHealthMisleading_ || (!behaviour_.isHanging_ && !behaviour_.isShedding_);
  SendJson(*aRequest.responder_, { { "healthy", isHealthy }, { "cold", !isHealthy && IsCold() } });
}

void TargetServer::SendLoad(const ServerRequest& aRequest) const
{
  const std::size_t busy = behaviour_.isLoadMisleading_ ? 0 : activeRequests_.size();
  SendJson(*aRequest.responder_, { { "busy", busy }, { "slots", behaviour_.slots_ } });
}

void TargetServer::AcceptRequest(const ServerRequest& aRequest)
{
  ++stats_.requests_;
  if (const auto deadline = DeadlineMs(aRequest)) {
    ++stats_.withDeadline_;
    stats_.lastDeadlineMs_ = *deadline;
  }
  if (aRequest.QueryNumber("bytes", 0) > kMaxBodyBytes) {
    SendText(*aRequest.responder_, kBadRequest, "too many bytes");
    return;
  }
  if (const char* reason = ShedReason(aRequest)) {
    Shed(aRequest, reason);
    return;
  }
  Run(aRequest);
}

const char* TargetServer::ShedReason(const ServerRequest& aRequest)
{
  if (behaviour_.isShedding_) {
    return "overload";
  }
  if (behaviour_.slots_ != 0 && activeRequests_.size() >= behaviour_.slots_) {
    return "slots";
  }
  const auto deadline = DeadlineMs(aRequest);
  if (behaviour_.shedsUnservable_ && deadline &&
      std::chrono::milliseconds(*deadline) < TotalWorkDuration()) {
    ++stats_.unservable_;
    return "deadline";
  }
  return nullptr;
}

void TargetServer::Shed(const ServerRequest& aRequest, const char* aReason)
{
  ++stats_.shed_;
  aRequest.responder_->Send(
    kUnavailable,
    { { "Dandelion-Shed", aReason }, { "Request-Identity", aRequest.Header("request-identity") } },
    "");
}

bool TargetServer::IsCold() const
{
  return behaviour_.remainingColdRequests_ > 0 || common::Now() < coldUntil_;
}

common::Duration TargetServer::TotalWorkDuration() const
{
  return behaviour_.workDuration_ + (IsCold() ? behaviour_.coldExtraDuration_ : common::Duration());
}

void TargetServer::Run(const ServerRequest& aRequest)
{
  // Reads are not counted: they may safely run twice, and there are very many of them.
  if (aRequest.method_ != "GET" && aRequest.method_ != "HEAD") {
    runs_.Add(aRequest.Header("idempotency-key"), aRequest.Header("request-identity"));
  }
  activeRequests_.push_back({ aRequest, nullptr, nullptr });
  stats_.maxInFlight_ = std::max<std::uint64_t>(stats_.maxInFlight_, activeRequests_.size());
  const auto activeRequest = std::prev(activeRequests_.end());
  aRequest.responder_->OnClientDisconnect([this, activeRequest]() {
    ++stats_.cancelled_;
    activeRequests_.erase(activeRequest);
  });
  if (behaviour_.isHanging_) {
    return;
  }
  const common::Duration workDuration = TotalWorkDuration();
  behaviour_.remainingColdRequests_ -= behaviour_.remainingColdRequests_ > 0 ? 1 : 0;
  if (workDuration.count() == 0) {
    Answer(activeRequest);
  } else {
    activeRequest->timer_ =
      loop_.After(workDuration, [this, activeRequest]() { Answer(activeRequest); });
  }
}

void TargetServer::Answer(ActiveRequests::iterator aActiveRequest)
{
  const ServerRequest& request = aActiveRequest->request_;
  Content content = ContentOf(request, behaviour_.contentVersion_);
  ResponseOptions options;
  options.status_ = kOk;
  options.range_ = { 0, content.Size() - 1 };
  options.pieceDelay_ = behaviour_.pieceDelay_;
  options.headers_ = { { "Content-Type", "text/plain" },
                       { "Request-Identity", request.Header("request-identity") },
                       { "Target-Service", service_ },
                       { "Target-Address", ListeningAddress().Get() } };
  if (content.Size() >= kMinDownloadBytes) {
    options.headers_["ETag"] = content.StrongEtag();
    options.headers_["Accept-Ranges"] = "bytes";
    if (IsRangeRequested(request, content.StrongEtag()) && !ApplyRange(request, content, options)) {
      SendText(*request.responder_, kRangeNotSatisfiable, "no such range");
      activeRequests_.erase(aActiveRequest);
      return;
    }
  }
  SendContent(aActiveRequest, std::move(content), std::move(options));
}

std::optional<std::uint64_t> TargetServer::ConsumeBreak(std::uint64_t aSize)
{
  if (behaviour_.remainingBreaks_ == 0 || aSize <= behaviour_.breakAfterBytes_) {
    return std::nullopt;
  }
  --behaviour_.remainingBreaks_;
  ++stats_.brokenOff_;
  return behaviour_.breakAfterBytes_;
}

void TargetServer::SendContent(ActiveRequests::iterator aActiveRequest,
                               Content aContent,
                               ResponseOptions aOptions)
{
  const std::uint64_t size = aOptions.range_.last_ - aOptions.range_.first_ + 1;
  aOptions.closeAfterBytes_ = ConsumeBreak(size);
  const bool isComplete = !aOptions.closeAfterBytes_;
  const auto onDone = [this, aActiveRequest, isComplete]() {
    stats_.answered_ += isComplete ? 1 : 0;
    activeRequests_.erase(aActiveRequest);
  };
  if (size < kMinDownloadBytes && !aOptions.closeAfterBytes_) {
    aActiveRequest->request_.responder_->Send(
      aOptions.status_, aOptions.headers_, aContent.Read(aOptions.range_.first_, size));
    onDone();
    return;
  }
  aActiveRequest->sender_ = std::make_unique<BodySender>(
    loop_, aActiveRequest->request_.responder_, std::move(aContent), std::move(aOptions), onDone);
  aActiveRequest->sender_->Start();
}

} // namespace dandelionstand::standins
