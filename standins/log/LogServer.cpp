#include "standins/log/LogServer.h"

#include "standins/ControlReader.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace dandelionstand::standins {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

//! The rate limit allows bursts of this share of a second's appends.
constexpr double kBurstSeconds = 0.25;
constexpr std::chrono::milliseconds kExpiryInterval(100);
constexpr std::chrono::milliseconds kMaxWait(60'000);

const std::string kStreamPrefix = "/v1/streams/";
const std::string kRecordsSuffix = "/records";

//! The stream that a path names, or "".
std::string StreamOf(const std::string& aPath)
{
  const std::size_t shell = kStreamPrefix.size() + kRecordsSuffix.size();
  if (aPath.size() <= shell || !aPath.starts_with(kStreamPrefix) ||
      !aPath.ends_with(kRecordsSuffix)) {
    return "";
  }
  const std::string stream = aPath.substr(kStreamPrefix.size(), aPath.size() - shell);
  return stream.find('/') == std::string::npos ? stream : "";
}

LogOutage ParseOutage(const std::string& aText)
{
  if (aText == "none") {
    return LogOutage::kNone;
  }
  if (aText == "refuse") {
    return LogOutage::kRefuse;
  }
  if (aText == "silent") {
    return LogOutage::kSilent;
  }
  throw std::invalid_argument("outage is none, refuse or silent");
}

LogBehaviour ReadBehaviour(const std::string& aText, LogBehaviour aBehaviour)
{
  ControlReader reader(aText);
  std::string outage;
  reader.Read("outage", outage);
  if (!outage.empty()) {
    aBehaviour.outage_ = ParseOutage(outage);
  }
  reader.Read("delay_ms", aBehaviour.delay_);
  reader.Read("lose_answers", aBehaviour.loseAnswers_);
  reader.Read("lose_answers_stream", aBehaviour.loseAnswersStream_);
  reader.Read("appends_per_second", aBehaviour.appendsPerSecond_);
  reader.Read("max_record_bytes", aBehaviour.maxRecordBytes_);
  reader.Read("max_read_bytes", aBehaviour.maxReadBytes_);
  reader.Read("retain_records", aBehaviour.retention_.records_);
  reader.Read("retain_ms", aBehaviour.retention_.age_);
  reader.RejectUnknownKeys();
  return aBehaviour;
}

} // namespace

LogServer::LogServer(common::EventLoop& aLoop, const common::Address& aListen)
  : loop_(aLoop)
  , expiry_(aLoop.Every(kExpiryInterval, [this]() { store_.Expire(common::Now()); }))
  , server_(aLoop, aListen, [this](const ServerRequest& aRequest) { OnRequest(aRequest); })
{
}

LogServer::~LogServer() = default;

void LogServer::SetBehaviour(const LogBehaviour& aBehaviour)
{
  const bool wasAway = behaviour_.outage_ != LogOutage::kNone;
  behaviour_ = aBehaviour;
  store_.SetRetention(behaviour_.retention_);
  if (behaviour_.outage_ == LogOutage::kRefuse || wasAway) {
    // Waiting reads end like those of a service that has just been restarted.
    waiters_.clear();
    unanswered_.clear();
  }
}

void LogServer::OnRequest(const ServerRequest& aRequest)
{
  if (aRequest.path_ == "/control" && aRequest.method_ == "POST") {
    OnControl(aRequest);
    return;
  }
  if (aRequest.path_ == "/counts") {
    OnCounts(aRequest);
    return;
  }
  const std::string stream = StreamOf(aRequest.path_);
  if (stream.empty()) {
    SendText(*aRequest.responder_, kNotFound, "no such stream");
    return;
  }
  OnRecords(aRequest, stream);
}

void LogServer::OnControl(const ServerRequest& aRequest)
{
  try {
    SetBehaviour(ReadBehaviour(aRequest.body_, behaviour_));
    SendJson(*aRequest.responder_, nlohmann::json::object());
  } catch (const std::invalid_argument& error) {
    SendText(*aRequest.responder_, kBadRequest, error.what());
  }
}

void LogServer::OnCounts(const ServerRequest& aRequest)
{
  nlohmann::json counts = nlohmann::json::array();
  for (const auto& [key, usage] : usage_) {
    counts.push_back({ { "client", key.first },
                       { "stream", key.second },
                       { "appends", usage.appends_ },
                       { "append_bytes", usage.appendBytes_ },
                       { "reads", usage.reads_ },
                       { "read_bytes", usage.readBytes_ },
                       { "refused", usage.refused_ } });
  }
  SendJson(*aRequest.responder_, counts);
}

void LogServer::OnRecords(const ServerRequest& aRequest, const std::string& aStream)
{
  if (behaviour_.outage_ == LogOutage::kSilent) {
    unanswered_.push_back(aRequest.responder_);
    return;
  }
  if (behaviour_.outage_ == LogOutage::kRefuse) {
    ++UsageOf(aRequest, aStream).refused_;
    AnswerLater(aRequest.responder_, kUnavailable, {}, "outage\n");
    return;
  }
  if (aRequest.method_ == "POST") {
    Append(aRequest, aStream);
  } else {
    Read(aRequest, aStream);
  }
}

void LogServer::Append(const ServerRequest& aRequest, const std::string& aStream)
{
  Usage& usage = UsageOf(aRequest, aStream);
  if (aRequest.body_.size() > behaviour_.maxRecordBytes_) {
    ++usage.refused_;
    AnswerLater(aRequest.responder_, kTooLarge, {}, "record too long\n");
    return;
  }
  if (!TakeAppendToken()) {
    ++usage.refused_;
    AnswerLater(aRequest.responder_, kTooManyRequests, {}, "rate limit\n");
    return;
  }
  ++usage.appends_;
  usage.appendBytes_ += aRequest.body_.size();
  const common::Offset offset = store_.Append(aStream, aRequest.body_, common::Now());
  if (LosesAnswer(aStream)) {
    aRequest.responder_->Drop();
  } else {
    AnswerLater(aRequest.responder_, kOk, {}, nlohmann::json{ { "offset", offset.Get() } }.dump());
  }
  WakeWaiters(aStream);
}

bool LogServer::TakeAppendToken()
{
  const double rate = static_cast<double>(behaviour_.appendsPerSecond_);
  if (rate == 0) {
    return true;
  }
  const common::TimePoint now = common::Now();
  const double seconds = std::chrono::duration<double>(now - tokensFilled_).count();
  tokensFilled_ = now;
  appendTokens_ = std::min(appendTokens_ + seconds * rate, std::max(1.0, rate * kBurstSeconds));
  if (appendTokens_ < 1) {
    return false;
  }
  appendTokens_ -= 1;
  return true;
}

bool LogServer::LosesAnswer(const std::string& aStream)
{
  const std::string& only = behaviour_.loseAnswersStream_;
  if (behaviour_.loseAnswers_ == 0 || (!only.empty() && only != aStream)) {
    return false;
  }
  --behaviour_.loseAnswers_;
  return true;
}

void LogServer::Read(const ServerRequest& aRequest, const std::string& aStream)
{
  const std::uint64_t from = aRequest.QueryNumber("from", 1);
  const bool isWaitNeeded = from >= store_.Next(aStream).Get();
  if (isWaitNeeded && aRequest.QueryNumber("wait_ms", 0) > 0) {
    StartWaiting(aRequest, aStream);
  } else {
    AnswerRead(aRequest, aStream);
  }
}

void LogServer::AnswerRead(const ServerRequest& aRequest, const std::string& aStream)
{
  const common::Offset from(aRequest.QueryNumber("from", 1));
  const HeaderMap headers = { { "Log-First", std::to_string(store_.First(aStream).Get()) },
                              { "Log-Next", std::to_string(store_.Next(aStream).Get()) } };
  Usage& usage = UsageOf(aRequest, aStream);
  ++usage.reads_;
  if (from < store_.First(aStream)) {
    AnswerLater(aRequest.responder_, kGone, headers, "");
    return;
  }
  std::string frames = store_.ReadFrames(aStream, from, behaviour_.maxReadBytes_);
  usage.readBytes_ += frames.size();
  AnswerLater(aRequest.responder_, kOk, headers, std::move(frames));
}

void LogServer::StartWaiting(const ServerRequest& aRequest, const std::string& aStream)
{
  const std::chrono::milliseconds asked(aRequest.QueryNumber("wait_ms", 0));
  waiters_.push_back({ aRequest, aStream, nullptr });
  const auto waiter = std::prev(waiters_.end());
  aRequest.responder_->OnClientGone([this, waiter]() { waiters_.erase(waiter); });
  waiter->timer_ = loop_.After(std::min(asked, kMaxWait), [this, waiter]() { EndWaiting(waiter); });
}

void LogServer::EndWaiting(Waiters::iterator aWaiter)
{
  const ServerRequest request = aWaiter->request_;
  const std::string stream = aWaiter->stream_;
  request.responder_->OnClientGone(nullptr);
  waiters_.erase(aWaiter);
  AnswerRead(request, stream);
}

void LogServer::WakeWaiters(const std::string& aStream)
{
  for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
    const auto next = std::next(waiter);
    const std::uint64_t from = waiter->request_.QueryNumber("from", 1);
    if (waiter->stream_ == aStream && from < store_.Next(aStream).Get()) {
      EndWaiting(waiter);
    }
    waiter = next;
  }
}

void LogServer::AnswerLater(std::shared_ptr<Responder> aResponder,
                            int aStatus,
                            HeaderMap aHeaders,
                            std::string aBody)
{
  if (behaviour_.delay_.count() == 0) {
    aResponder->Send(aStatus, aHeaders, aBody);
    return;
  }
  auto timer = std::make_shared<std::unique_ptr<common::Watch>>();
  *timer = loop_.After(behaviour_.delay_,
                       [timer,
                        responder = std::move(aResponder),
                        aStatus,
                        headers = std::move(aHeaders),
                        body = std::move(aBody)]() {
                         responder->Send(aStatus, headers, body);
                         timer->reset();
                       });
}

LogServer::Usage& LogServer::UsageOf(const ServerRequest& aRequest, const std::string& aStream)
{
  return usage_[{ aRequest.clientIp_, aStream }];
}

} // namespace dandelionstand::standins
