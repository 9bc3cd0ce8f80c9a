#include "dandelionstand/target/ForwardedCall.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/HttpHeaders.h"
#include "dandelionstand/target/AnswerSender.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dandelionstand::target {

namespace {

constexpr int kFirstServerError = 500;
//! Small, so that other messages are sent between the frames of a large body.
constexpr std::size_t kMaxFrameBytes = 16UL * 1024;

//! Longer bodies of refusals are not read to their end.
constexpr std::size_t kMaxDiscardedBytes = 64UL * 1024;

//! Maximum time without data from the target during a download, after which the target is taken
//! to be unresponsive.
constexpr common::Duration kIdleTimeout = std::chrono::seconds(30);
//! Maximum time without credit during a download, after which the caller's daemon is taken to be
//! unresponsive.
constexpr common::Duration kPausedTimeout = std::chrono::seconds(90);

bool IsDownload(const peer::wire::CallStart& aRequest)
{
  return aRequest.traffic_class() == peer::wire::DOWNLOAD;
}

//! Returns the target's idle timeout from its Keep-Alive header, or 0 if there is none.
common::Duration KeepAliveTime(const http::Headers& aHeaders)
{
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value = http::FindHeader(aHeaders, "Keep-Alive");
  const auto start = value.find(kTimeout);
  if (start == std::string_view::npos) {
    return {};
  }
  const std::string_view number = value.substr(start + kTimeout.size());
  std::uint32_t seconds = 0;
  std::from_chars(number.data(), number.data() + number.size(), seconds);
  return std::chrono::seconds(seconds);
}

} // namespace

ForwardedCall::ForwardedCall(const Context& aContext,
                             peer::PeerRef aCallerDaemon,
                             AttemptKey aKey,
                             peer::wire::CallStart aRequest,
                             FinishedHandler aOnFinished)
  : context_(aContext)
  , callerDaemon_(std::move(aCallerDaemon))
  , key_(std::move(aKey))
  , request_(std::move(aRequest))
  , onFinished_(std::move(aOnFinished))
  , bodyHash_(XXH3_createState())
  , creditBytes_(request_.credit_bytes())
{
  XXH3_64bits_reset(bodyHash_);
}

ForwardedCall::~ForwardedCall()
{
  ReleaseConnection(false);
  XXH3_freeState(bodyHash_);
}

void ForwardedCall::Start(common::TimePoint aDeadline, const common::TargetIdentity& aTarget)
{
  target_ = aTarget;
  const common::TimePoint now = common::Now();
  startedAt_ = now;
  const bool isIdempotent = request_.idempotency() == peer::wire::IDEMPOTENT;
  connection_ = context_.connections_.Acquire(!isIdempotent, now);
  deadlineTimer_ = context_.loop_.After(aDeadline - now, [this] { OnTimeout(); });
  const common::HostAndPort& server = connection_->Server();
  const dialect::TargetCall call{ server.host_ + ":" + std::to_string(server.port_),
                                  aTarget.incarnationId_,
                                  aDeadline - now,
                                  request_.depth() };
  sentHeaders_ = context_.dialect_.WriteHeaders(CallerHeaders(), call);
  connection_->Send(
    { request_.method(), request_.path(), sentHeaders_, request_.body(), aDeadline },
    MakeHandlers());
  request_.clear_body();
}

http::Headers ForwardedCall::CallerHeaders() const
{
  http::Headers headers;
  for (const peer::wire::Header& header : request_.headers()) {
    headers.push_back({ header.name(), header.value() });
  }
  return headers;
}

http::ClientConnection::Handlers ForwardedCall::MakeHandlers()
{
  return { [this](const http::ResponseHead& aHead) { return BelongsToRequest(aHead); },
           [this](http::ResponseHead aHead) { OnHead(std::move(aHead)); },
           [this](std::string_view aData) { OnData(aData); },
           [this](bool aIsReusable) { OnEnd(aIsReusable); },
           [this](http::ClientFailure aFailure) { OnFailure(aFailure); } };
}

void ForwardedCall::AddCredit(std::uint32_t aBytes)
{
  creditBytes_ += aBytes;
  ApplyCredit();
}

bool ForwardedCall::BelongsToRequest(const http::ResponseHead& aHead)
{
  verdict_ = context_.dialect_.ClassifyAnswer(sentHeaders_, aHead);
  return verdict_ != dialect::AnswerVerdict::kOtherRequest;
}

void ForwardedCall::OnHead(http::ResponseHead aHead)
{
  answerHead_ = std::move(aHead);
  if (verdict_ == dialect::AnswerVerdict::kValid || verdict_ == dialect::AnswerVerdict::kNotRun) {
    context_.onNotice_(target_, context_.dialect_.ReadNotice(answerHead_), startedAt_);
  }
  if (verdict_ == dialect::AnswerVerdict::kInvalid) {
    Fail("invalid-answer", peer::wire::UNKNOWN);
    return;
  }
  if (verdict_ != dialect::AnswerVerdict::kValid) {
    return;
  }
  hasHead_ = true;
  if (IsDownload(request_)) {
    deadlineTimer_.reset();
    idleTimer_ = context_.loop_.After(kIdleTimeout, [this] { OnTimeout(); });
  }
  const std::string_view connection = http::FindHeader(answerHead_.headers_, "Connection");
  peer::wire::AnswerHead head;
  head.set_status(answerHead_.status_);
  for (const http::Header& header : answerHead_.headers_) {
    if (common::IsEndToEndResponseHeader(header.name_, connection)) {
      peer::wire::Header& added = *head.add_headers();
      added.set_name(header.name_);
      added.set_value(header.value_);
    }
  }
  if (!context_.sender_.SendHead(callerDaemon_, key_, std::move(head))) {
    Fail(std::string(kLinkFull), peer::wire::RUN);
  }
}

void ForwardedCall::OnData(std::string_view aData)
{
  if (isFinished_) {
    return;
  }
  if (verdict_ != dialect::AnswerVerdict::kValid) {
    // The body of a refusal is read only so that the connection can be used again.
    discardedBytes_ += aData.size();
    if (discardedBytes_ > kMaxDiscardedBytes) {
      OnEnd(false);
    }
    return;
  }
  while (!aData.empty() && !isFinished_) {
    SendFrame(std::string(aData.substr(0, kMaxFrameBytes)));
    aData.remove_prefix(std::min(kMaxFrameBytes, aData.size()));
  }
  if (!isFinished_) {
    ApplyCredit();
  }
}

void ForwardedCall::SendFrame(std::string aData)
{
  XXH3_64bits_update(bodyHash_, aData.data(), aData.size());
  bodyLength_ += aData.size();
  creditBytes_ -= static_cast<std::int64_t>(aData.size());
  peer::wire::AnswerBody body;
  body.set_sequence(nextSequence_++);
  body.set_checksum(XXH3_64bits(aData.data(), aData.size()));
  body.set_data(std::move(aData));
  if (!context_.sender_.SendBody(callerDaemon_, key_, std::move(body))) {
    Fail(std::string(kLinkFull), peer::wire::RUN);
  }
}

void ForwardedCall::OnEnd(bool aIsReusable)
{
  if (isFinished_) {
    return;
  }
  switch (verdict_) {
    case dialect::AnswerVerdict::kWrongTarget:
      context_.onTargetLost_("another-target");
      Fail("target-misplaced", peer::wire::NOT_RUN);
      return;
    case dialect::AnswerVerdict::kInvalid:
    case dialect::AnswerVerdict::kOtherRequest:
      Fail("invalid-answer", peer::wire::UNKNOWN);
      return;
    case dialect::AnswerVerdict::kNotRun:
      context_.sender_.SendFailed(
        callerDaemon_, key_, request_.route(), "target-shed", peer::wire::NOT_RUN);
      break;
    case dialect::AnswerVerdict::kValid: {
      const common::Duration took = common::Now() - startedAt_;
      context_.counters_.Observe("target_work_seconds", took);
      peer::wire::AnswerEnd end;
      end.set_target_time_us(static_cast<std::uint32_t>(took.count()));
      end.set_length(bodyLength_);
      end.set_checksum(XXH3_64bits_digest(bodyHash_));
      context_.sender_.SendEnd(callerDaemon_, key_, request_.route(), std::move(end));
      break;
    }
  }
  isFinished_ = true;
  // Deferred to the event loop: the connection is still executing the callback that reports the end
  // of the response, so it must not be released here.
  const bool isServed =
    verdict_ == dialect::AnswerVerdict::kValid && answerHead_.status_ < kFirstServerError;
  const WorkOutcome outcome = isServed ? WorkOutcome::kCompleted : WorkOutcome::kAborted;
  finishTimer_ = context_.loop_.After(common::Duration(0), [this, aIsReusable, outcome] {
    ReleaseConnection(aIsReusable);
    onFinished_(key_, outcome);
  });
}

void ForwardedCall::OnFailure(http::ClientFailure aFailure)
{
  if (isFinished_) {
    return;
  }
  if (aFailure == http::ClientFailure::kNotConnected) {
    context_.onTargetLost_("unreachable");
    Fail("target-unreachable", peer::wire::NOT_RUN);
  } else if (aFailure == http::ClientFailure::kExpired) {
    Fail("expired", peer::wire::NOT_RUN);
  } else if (hasHead_) {
    Fail("answer-broke-off", peer::wire::RUN);
  } else {
    Fail("no-answer-from-target", peer::wire::UNKNOWN);
  }
}

void ForwardedCall::Fail(const std::string& aReason, peer::wire::RunState aRunState)
{
  isFinished_ = true;
  // Closed before the outcome is reported, so that the request cannot be sent afterwards.
  connection_->Cancel();
  common::LogEvent(common::Severity::kWarn,
                   "call_failed",
                   { { "request", request_.caller_request_id() },
                     { "from", key_.callerInstance_.Get() },
                     { "attempt", key_.attempt_ },
                     { "reason", aReason },
                     { "run", peer::wire::RunState_Name(aRunState) },
                     { "version", request_.config_version() },
                     { "time_left_ms", request_.time_left_ms() } });
  context_.sender_.SendFailed(callerDaemon_, key_, request_.route(), aReason, aRunState);
  ScheduleFinish();
}

void ForwardedCall::ApplyCredit()
{
  if (!connection_ || isFinished_ || !hasHead_) {
    return;
  }
  const bool isPaused = creditBytes_ <= 0;
  connection_->SetReading(!isPaused);
  if (IsDownload(request_)) {
    idleTimer_ =
      context_.loop_.After(isPaused ? kPausedTimeout : kIdleTimeout, [this] { OnTimeout(); });
  }
}

void ForwardedCall::OnTimeout()
{
  if (isFinished_) {
    return;
  }
  if (!connection_->WasSent()) {
    context_.onTargetLost_("connect-timeout");
    Fail("target-unreachable", peer::wire::NOT_RUN);
    return;
  }
  Fail("target-timeout", hasHead_ ? peer::wire::RUN : peer::wire::UNKNOWN);
}

void ForwardedCall::ReleaseConnection(bool aKeepOpen)
{
  deadlineTimer_.reset();
  idleTimer_.reset();
  if (!connection_) {
    return;
  }
  isFinished_ = true;
  if (aKeepOpen) {
    context_.connections_.Release(
      std::move(connection_), KeepAliveTime(answerHead_.headers_), common::Now());
  } else {
    connection_->Cancel();
    context_.connections_.Discard(std::move(connection_));
  }
}

void ForwardedCall::ScheduleFinish()
{
  finishTimer_ =
    context_.loop_.After(common::Duration(0), [this] { onFinished_(key_, WorkOutcome::kAborted); });
}

} // namespace dandelionstand::target
