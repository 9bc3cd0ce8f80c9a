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
constexpr std::size_t kFrameBytes = 64UL * 1024;

//! Longest silence of a target in the middle of an answer, or without credit, before the caller's
//! side or the target is taken for gone.
constexpr common::Duration kIdleLimit = std::chrono::seconds(30);
constexpr common::Duration kPausedLimit = std::chrono::seconds(90);

bool IsDownload(const peer::wire::CallStart& aStart)
{
  return aStart.traffic_class() == peer::wire::DOWNLOAD;
}

//! The time after which the target closes an idle connection, from its Keep-Alive header; 0 if it
//! does not say.
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
                             peer::PeerRef aFrom,
                             AttemptKey aKey,
                             peer::wire::CallStart aStart,
                             Finished aFinished)
  : context_(aContext)
  , from_(std::move(aFrom))
  , key_(std::move(aKey))
  , start_(std::move(aStart))
  , finished_(std::move(aFinished))
  , hash_(XXH3_createState())
  , credit_(start_.credit_bytes())
{
  XXH3_64bits_reset(hash_);
}

ForwardedCall::~ForwardedCall()
{
  Release(false);
  XXH3_freeState(hash_);
}

void ForwardedCall::Start(common::TimePoint aDeadline, const std::string& aExpectedInstance)
{
  const common::TimePoint now = common::Now();
  startedAt_ = now;
  const bool isIdempotent = start_.idempotency() == peer::wire::IDEMPOTENT;
  connection_ = context_.connections_.Take(!isIdempotent, now);
  deadline_ = context_.loop_.After(aDeadline - now, [this] { OnTimeout(); });
  const common::HostAndPort& server = connection_->Server();
  const dialect::TargetCall call{ server.host_ + ":" + std::to_string(server.port_),
                                  aExpectedInstance,
                                  aDeadline - now,
                                  start_.depth() };
  sent_ = context_.dialect_.WriteHeaders(CallerHeaders(), call);
  connection_->Send({ start_.method(), start_.path(), sent_, start_.body() }, MakeHandlers());
  start_.clear_body();
}

http::Headers ForwardedCall::CallerHeaders() const
{
  http::Headers headers;
  for (const peer::wire::Header& header : start_.headers()) {
    headers.push_back({ header.name(), header.value() });
  }
  return headers;
}

http::ClientConnection::Handlers ForwardedCall::MakeHandlers()
{
  return { [this](const http::ResponseHead& aHead) { return IsOwn(aHead); },
           [this](http::ResponseHead aHead) { OnHead(std::move(aHead)); },
           [this](std::string_view aData) { OnData(aData); },
           [this](bool aIsReusable) { OnEnd(aIsReusable); },
           [this](http::ClientFailure aFailure) { OnBroken(aFailure); } };
}

void ForwardedCall::AddCredit(std::uint32_t aBytes)
{
  credit_ += aBytes;
  ApplyCredit();
}

bool ForwardedCall::IsOwn(const http::ResponseHead& aHead)
{
  verdict_ = context_.dialect_.ClassifyAnswer(sent_, aHead);
  return verdict_ != dialect::AnswerVerdict::kOtherRequest;
}

void ForwardedCall::OnHead(http::ResponseHead aHead)
{
  head_ = std::move(aHead);
  if (verdict_ != dialect::AnswerVerdict::kValid) {
    return;
  }
  hasHead_ = true;
  if (IsDownload(start_)) {
    deadline_.reset();
    idleLimit_ = context_.loop_.After(kIdleLimit, [this] { OnTimeout(); });
  }
  const std::string_view connection = http::FindHeader(head_.headers_, "Connection");
  peer::wire::AnswerHead head;
  head.set_status(head_.status_);
  for (const http::Header& header : head_.headers_) {
    if (common::IsEndToEndAnswerHeader(header.name_, connection)) {
      peer::wire::Header& added = *head.add_headers();
      added.set_name(header.name_);
      added.set_value(header.value_);
    }
  }
  context_.sender_.SendHead(from_, key_, std::move(head));
}

void ForwardedCall::OnData(std::string_view aData)
{
  if (isOver_ || verdict_ != dialect::AnswerVerdict::kValid) {
    return;
  }
  while (!aData.empty() && !isOver_) {
    SendFrame(std::string(aData.substr(0, kFrameBytes)));
    aData.remove_prefix(std::min(kFrameBytes, aData.size()));
  }
  if (!isOver_) {
    ApplyCredit();
  }
}

void ForwardedCall::SendFrame(std::string aData)
{
  XXH3_64bits_update(hash_, aData.data(), aData.size());
  length_ += aData.size();
  credit_ -= static_cast<std::int64_t>(aData.size());
  peer::wire::AnswerBody body;
  body.set_sequence(sequence_++);
  body.set_checksum(XXH3_64bits(aData.data(), aData.size()));
  body.set_data(std::move(aData));
  if (!context_.sender_.SendBody(from_, key_, std::move(body))) {
    // The frame that is missing shows the caller's side that the answer broke.
    isOver_ = true;
    FinishLater();
  }
}

void ForwardedCall::OnEnd(bool aIsReusable)
{
  if (isOver_) {
    return;
  }
  switch (verdict_) {
    case dialect::AnswerVerdict::kWrongTarget:
      context_.lost_("another-target");
      Fail("target-misplaced", peer::wire::NOT_RUN);
      return;
    case dialect::AnswerVerdict::kInvalid:
    case dialect::AnswerVerdict::kOtherRequest:
      Fail("invalid-answer", peer::wire::UNKNOWN);
      return;
    case dialect::AnswerVerdict::kNotRun:
      context_.sender_.SendFailed(from_, key_, start_.route(), "target-shed", peer::wire::NOT_RUN);
      break;
    case dialect::AnswerVerdict::kValid: {
      const common::Duration took = common::Now() - startedAt_;
      context_.counters_.Observe("target_work_seconds", took);
      peer::wire::AnswerEnd end;
      end.set_target_time_us(static_cast<std::uint32_t>(took.count()));
      end.set_length(length_);
      end.set_checksum(XXH3_64bits_digest(hash_));
      context_.sender_.SendEnd(from_, key_, start_.route(), std::move(end));
      break;
    }
  }
  isOver_ = true;
  // The connection still runs its own code when it reports the end of a response.
  const bool isServed =
    verdict_ == dialect::AnswerVerdict::kValid && head_.status_ < kFirstServerError;
  const WorkEnd end = isServed ? WorkEnd::kServed : WorkEnd::kCutShort;
  finishLater_ = context_.loop_.After(common::Duration(0), [this, aIsReusable, end] {
    Release(aIsReusable);
    finished_(key_, end);
  });
}

void ForwardedCall::OnBroken(http::ClientFailure aFailure)
{
  if (isOver_) {
    return;
  }
  if (aFailure == http::ClientFailure::kNotConnected) {
    context_.lost_("unreachable");
    Fail("target-unreachable", peer::wire::NOT_RUN);
  } else if (hasHead_) {
    Fail("answer-broke-off", peer::wire::RUN);
  } else {
    Fail("no-answer-from-target", peer::wire::UNKNOWN);
  }
}

void ForwardedCall::Fail(const std::string& aReason, peer::wire::RunState aRunState)
{
  isOver_ = true;
  common::LogEvent(common::Severity::kWarn,
                   "call_failed",
                   { { "request", start_.caller_request_id() },
                     { "from", key_.caller_.Get() },
                     { "attempt", key_.attempt_ },
                     { "reason", aReason },
                     { "run", peer::wire::RunState_Name(aRunState) },
                     { "version", start_.config_version() },
                     { "time_left_ms", start_.time_left_ms() } });
  context_.sender_.SendFailed(from_, key_, start_.route(), aReason, aRunState);
  FinishLater();
}

void ForwardedCall::ApplyCredit()
{
  if (!connection_ || isOver_ || !hasHead_) {
    return;
  }
  const bool isPaused = credit_ <= 0;
  connection_->SetReading(!isPaused);
  if (IsDownload(start_)) {
    idleLimit_ =
      context_.loop_.After(isPaused ? kPausedLimit : kIdleLimit, [this] { OnTimeout(); });
  }
}

void ForwardedCall::OnTimeout()
{
  if (isOver_) {
    return;
  }
  if (!connection_->WasSent()) {
    context_.lost_("connect-timeout");
    Fail("target-unreachable", peer::wire::NOT_RUN);
    return;
  }
  Fail("target-timeout", hasHead_ ? peer::wire::RUN : peer::wire::UNKNOWN);
}

void ForwardedCall::Release(bool aReuse)
{
  deadline_.reset();
  idleLimit_.reset();
  if (!connection_) {
    return;
  }
  isOver_ = true;
  if (aReuse) {
    context_.connections_.Return(
      std::move(connection_), KeepAliveTime(head_.headers_), common::Now());
  } else {
    connection_->Cancel();
    context_.connections_.Discard(std::move(connection_));
  }
}

void ForwardedCall::FinishLater()
{
  finishLater_ =
    context_.loop_.After(common::Duration(0), [this] { finished_(key_, WorkEnd::kCutShort); });
}

} // namespace dandelionstand::target
