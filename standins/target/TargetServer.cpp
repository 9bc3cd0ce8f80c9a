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
//! Bodies from this size on are downloads: they have an ETag and are streamed.
constexpr std::uint64_t kDownloadBytes = 65'536;

std::optional<std::uint64_t> DeadlineMs(const ServerRequest& aRequest)
{
  const std::string text = aRequest.Header("deadline-ms");
  if (text.empty()) {
    return std::nullopt;
  }
  return std::strtoull(text.c_str(), nullptr, 10);
}

bool IsRangeWanted(const ServerRequest& aRequest, const std::string& aEtag)
{
  const std::string condition = aRequest.Header("if-range");
  return !aRequest.Header("range").empty() && (condition.empty() || condition == aEtag);
}

std::string ContentRange(const ByteRange& aRange, std::uint64_t aSize)
{
  return "bytes " + std::to_string(aRange.first_) + "-" + std::to_string(aRange.last_) + "/" +
         std::to_string(aSize);
}

//! False if the range lies outside of the content.
bool NarrowToRange(const ServerRequest& aRequest, const Content& aContent, BodyPlan& aPlan)
{
  const std::optional<ByteRange> range = ParseRange(aRequest.Header("range"), aContent.Size());
  if (!range) {
    return false;
  }
  aPlan.status_ = kPartialContent;
  aPlan.range_ = *range;
  aPlan.headers_["Content-Range"] = ContentRange(*range, aContent.Size());
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
  , coldUntil_(common::Now() + behaviour_.coldTime_)
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
    Take(aRequest);
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
  coldUntil_ = common::Now() + behaviour_.coldTime_;
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
             { "hopeless", stats_.hopeless_ },
             { "cancelled", stats_.cancelled_ },
             { "broken_off", stats_.brokenOff_ },
             { "with_deadline", stats_.withDeadline_ },
             { "last_deadline_ms", stats_.lastDeadlineMs_ },
             { "most_at_once", stats_.mostAtOnce_ },
             { "in_flight", works_.size() } });
}

void TargetServer::SendHealth(const ServerRequest& aRequest) const
{
  const bool isFine =
    behaviour_.isHealthMisleading_ || (!behaviour_.isHanging_ && !behaviour_.isShedding_);
  SendJson(*aRequest.responder_, { { "healthy", isFine }, { "cold", !isFine && IsCold() } });
}

void TargetServer::SendLoad(const ServerRequest& aRequest) const
{
  const std::size_t busy = behaviour_.isLoadMisleading_ ? 0 : works_.size();
  SendJson(*aRequest.responder_, { { "busy", busy }, { "slots", behaviour_.slots_ } });
}

void TargetServer::Take(const ServerRequest& aRequest)
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
  if (const char* reason = ReasonToShed(aRequest)) {
    Shed(aRequest, reason);
    return;
  }
  Run(aRequest);
}

const char* TargetServer::ReasonToShed(const ServerRequest& aRequest)
{
  if (behaviour_.isShedding_) {
    return "overload";
  }
  if (behaviour_.slots_ != 0 && works_.size() >= behaviour_.slots_) {
    return "slots";
  }
  const auto deadline = DeadlineMs(aRequest);
  if (behaviour_.refusesHopeless_ && deadline &&
      std::chrono::milliseconds(*deadline) < WorkTime()) {
    ++stats_.hopeless_;
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
  return behaviour_.coldCount_ > 0 || common::Now() < coldUntil_;
}

common::Duration TargetServer::WorkTime() const
{
  return behaviour_.think_ + (IsCold() ? behaviour_.coldExtra_ : common::Duration());
}

void TargetServer::Run(const ServerRequest& aRequest)
{
  // Reads are not counted: there is no harm in running one twice, and there are very many.
  if (aRequest.method_ != "GET" && aRequest.method_ != "HEAD") {
    runs_.Add(aRequest.Header("idempotency-key"), aRequest.Header("request-identity"));
  }
  works_.push_back({ aRequest, nullptr, nullptr });
  stats_.mostAtOnce_ = std::max<std::uint64_t>(stats_.mostAtOnce_, works_.size());
  const auto work = std::prev(works_.end());
  aRequest.responder_->OnClientGone([this, work]() {
    ++stats_.cancelled_;
    works_.erase(work);
  });
  if (behaviour_.isHanging_) {
    return;
  }
  const common::Duration time = WorkTime();
  behaviour_.coldCount_ -= behaviour_.coldCount_ > 0 ? 1 : 0;
  if (time.count() == 0) {
    Answer(work);
  } else {
    work->timer_ = loop_.After(time, [this, work]() { Answer(work); });
  }
}

void TargetServer::Answer(Works::iterator aWork)
{
  const ServerRequest& request = aWork->request_;
  Content content = ContentOf(request, behaviour_.contentVersion_);
  BodyPlan plan;
  plan.status_ = kOk;
  plan.range_ = { 0, content.Size() - 1 };
  plan.pieceDelay_ = behaviour_.pieceDelay_;
  plan.headers_ = { { "Content-Type", "text/plain" },
                    { "Request-Identity", request.Header("request-identity") },
                    { "Target-Service", service_ },
                    { "Target-Address", ListeningAddress().Get() } };
  if (content.Size() >= kDownloadBytes) {
    plan.headers_["ETag"] = content.StrongEtag();
    plan.headers_["Accept-Ranges"] = "bytes";
    if (IsRangeWanted(request, content.StrongEtag()) && !NarrowToRange(request, content, plan)) {
      SendText(*request.responder_, kRangeNotSatisfiable, "no such range");
      works_.erase(aWork);
      return;
    }
  }
  SendContent(aWork, std::move(content), std::move(plan));
}

std::optional<std::uint64_t> TargetServer::NextBreak(std::uint64_t aSize)
{
  if (behaviour_.breakCount_ == 0 || aSize <= behaviour_.breakAfterBytes_) {
    return std::nullopt;
  }
  --behaviour_.breakCount_;
  ++stats_.brokenOff_;
  return behaviour_.breakAfterBytes_;
}

void TargetServer::SendContent(Works::iterator aWork, Content aContent, BodyPlan aPlan)
{
  const std::uint64_t size = aPlan.range_.last_ - aPlan.range_.first_ + 1;
  aPlan.breakAfter_ = NextBreak(size);
  const bool isWhole = !aPlan.breakAfter_;
  const auto onDone = [this, aWork, isWhole]() {
    stats_.answered_ += isWhole ? 1 : 0;
    works_.erase(aWork);
  };
  if (size < kDownloadBytes && !aPlan.breakAfter_) {
    aWork->request_.responder_->Send(
      aPlan.status_, aPlan.headers_, aContent.Read(aPlan.range_.first_, size));
    onDone();
    return;
  }
  aWork->sender_ = std::make_unique<BodySender>(
    loop_, aWork->request_.responder_, std::move(aContent), std::move(aPlan), onDone);
  aWork->sender_->Start();
}

} // namespace dandelionstand::standins
