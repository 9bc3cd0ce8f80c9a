#include "dandelionstand/target/ForwardedCall.h"

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/HttpHeaders.h"
#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/target/AnswerSender.h"
#include "dandelionstand/target/TargetConnections.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace dandelionstand::target {

namespace {

constexpr int kServiceUnavailable = 503;
constexpr std::size_t kFrameBytes = 64UL * 1024;

//! Longest silence of a target in the middle of an answer.
constexpr timeval kIdleLimit{ 30, 0 };
//! Longest time without credit before the caller's side is taken for gone.
constexpr common::Duration kPausedLimit = std::chrono::seconds(90);

//! Set by a target that shed the request before it did any work on it.
constexpr const char* kShedHeader = "Dandelion-Shed";

evhttp_cmd_type MethodOf(const std::string& aName)
{
  if (aName == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (aName == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (aName == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  if (aName == "HEAD") {
    return EVHTTP_REQ_HEAD;
  }
  if (aName == "PATCH") {
    return EVHTTP_REQ_PATCH;
  }
  return EVHTTP_REQ_GET;
}

bool IsDownload(const peer::wire::CallStart& aStart)
{
  return aStart.traffic_class() == peer::wire::DOWNLOAD;
}

} // namespace

ForwardedCall::ForwardedCall(common::EventLoop& aLoop,
                             AnswerSender& aSender,
                             TargetConnections& aConnections,
                             peer::PeerRef aFrom,
                             AttemptKey aKey,
                             peer::wire::CallStart aStart,
                             Finished aFinished)
  : loop_(aLoop)
  , sender_(aSender)
  , connections_(aConnections)
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

void ForwardedCall::Start(common::TimePoint aDeadline)
{
  const common::TimePoint now = common::Now();
  const bool isIdempotent = start_.idempotency() == peer::wire::IDEMPOTENT;
  connection_ = connections_.Take(!isIdempotent, now);
  evhttp_connection_set_timeout_tv(connection_, &kIdleLimit);
  bufferevent* stream = evhttp_connection_get_bufferevent(connection_);
  output_ = bufferevent_get_output(stream);
  outputWatch_ = evbuffer_add_cb(output_, &OnOutput, this);
  deadline_ = loop_.After(aDeadline - now, [this] { OnTimeout(); });

  evhttp_request* request = evhttp_request_new(&OnDone, this);
  evhttp_request_set_header_cb(request, &OnHead);
  evhttp_request_set_chunked_cb(request, &OnData);
  AddHeaders(request, aDeadline - now);
  evbuffer_add(
    evhttp_request_get_output_buffer(request), start_.body().data(), start_.body().size());
  evhttp_make_request(connection_, request, MethodOf(start_.method()), start_.path().c_str());
  start_.clear_body();
}

void ForwardedCall::AddHeaders(evhttp_request* aRequest, common::Duration aTimeLeft)
{
  evkeyvalq* headers = evhttp_request_get_output_headers(aRequest);
  for (const peer::wire::Header& header : start_.headers()) {
    evhttp_add_header(headers, header.name().c_str(), header.value().c_str());
  }
  char* host = nullptr;
  std::uint16_t port = 0;
  evhttp_connection_get_peer(connection_, &host, &port);
  const std::string authority = std::string(host) + ":" + std::to_string(port);
  const auto leftMs = std::chrono::duration_cast<std::chrono::milliseconds>(aTimeLeft).count();
  evhttp_add_header(headers, "Host", authority.c_str());
  evhttp_add_header(headers, "Deadline-Ms", std::to_string(leftMs).c_str());
  evhttp_add_header(headers, "Dandelion-Depth", std::to_string(start_.depth()).c_str());
}

void ForwardedCall::AddCredit(std::uint32_t aBytes)
{
  credit_ += aBytes;
  ScheduleRead();
}

int ForwardedCall::OnHead(evhttp_request* aRequest, void* aSelf)
{
  static_cast<ForwardedCall*>(aSelf)->SendHead(aRequest);
  return 0;
}

void ForwardedCall::OnData(evhttp_request* aRequest, void* aSelf)
{
  static_cast<ForwardedCall*>(aSelf)->SendData(aRequest);
}

void ForwardedCall::OnDone(evhttp_request* aRequest, void* aSelf)
{
  auto* self = static_cast<ForwardedCall*>(aSelf);
  if (self->isOver_) {
    return;
  }
  const bool isWhole = aRequest != nullptr && evhttp_request_get_response_code(aRequest) != 0;
  if (isWhole) {
    self->EndWhole(aRequest);
  } else if (!self->wasSent_) {
    self->Fail("target-unreachable", peer::wire::NOT_RUN);
  } else if (self->hasHead_) {
    self->Fail("answer-broke-off", peer::wire::RUN);
  } else {
    self->Fail("no-answer-from-target", peer::wire::UNKNOWN);
  }
}

void ForwardedCall::OnOutput(evbuffer*, const evbuffer_cb_info* aInfo, void* aSelf)
{
  // evhttp writes a request only once the connection stands.
  if (aInfo->n_added > 0) {
    static_cast<ForwardedCall*>(aSelf)->wasSent_ = true;
  }
}

bool ForwardedCall::SendHead(evhttp_request* aRequest)
{
  hasHead_ = true;
  if (IsDownload(start_)) {
    deadline_.reset();
  }
  const evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  const char* connection = evhttp_find_header(headers, "Connection");
  peer::wire::AnswerHead head;
  head.set_status(static_cast<std::uint32_t>(evhttp_request_get_response_code(aRequest)));
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    if (common::IsEndToEndAnswerHeader(header->key, connection == nullptr ? "" : connection)) {
      peer::wire::Header& added = *head.add_headers();
      added.set_name(header->key);
      added.set_value(header->value);
    }
  }
  return sender_.SendHead(from_, key_, std::move(head));
}

void ForwardedCall::SendData(evhttp_request* aRequest)
{
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  while (evbuffer_get_length(input) > 0) {
    std::string data(std::min(kFrameBytes, evbuffer_get_length(input)), '\0');
    evbuffer_remove(input, data.data(), data.size());
    XXH3_64bits_update(hash_, data.data(), data.size());
    length_ += data.size();
    credit_ -= static_cast<std::int64_t>(data.size());
    peer::wire::AnswerBody body;
    body.set_sequence(sequence_++);
    body.set_checksum(XXH3_64bits(data.data(), data.size()));
    body.set_data(std::move(data));
    if (!sender_.SendBody(from_, key_, std::move(body))) {
      // The frame that is missing shows the caller's side that the answer broke.
      isOver_ = true;
      FinishLater();
      return;
    }
  }
  if (credit_ <= 0) {
    ScheduleRead();
  }
}

void ForwardedCall::EndWhole(evhttp_request* aRequest)
{
  const char* shed = evhttp_find_header(evhttp_request_get_input_headers(aRequest), kShedHeader);
  const bool isShed =
    evhttp_request_get_response_code(aRequest) == kServiceUnavailable && shed != nullptr;
  if (isShed) {
    Fail("target-shed", peer::wire::NOT_RUN);
    return;
  }
  peer::wire::AnswerEnd end;
  end.set_length(length_);
  end.set_checksum(XXH3_64bits_digest(hash_));
  const bool reuse = IsKeptAlive(aRequest);
  isOver_ = true;
  sender_.SendEnd(from_, key_, std::move(end));
  // evhttp still uses the connection when it reports the end of a request.
  finishLater_ = loop_.After(common::Duration(0), [this, reuse] {
    Release(reuse);
    finished_(key_);
  });
}

void ForwardedCall::Fail(const std::string& aReason, peer::wire::RunState aRunState)
{
  isOver_ = true;
  sender_.SendFailed(from_, key_, aReason, aRunState);
  FinishLater();
}

void ForwardedCall::ScheduleRead()
{
  if (connection_ == nullptr || isOver_ || readLater_) {
    return;
  }
  // evhttp switches reading on again after each piece of a body, so this waits for its return.
  // One that is pending stays: a body that arrives in each turn of the loop would put it off
  // forever.
  readLater_ = loop_.After(common::Duration(0), [this] { ApplyCredit(); });
}

void ForwardedCall::ApplyCredit()
{
  readLater_.reset();
  if (connection_ == nullptr || isOver_) {
    return;
  }
  bufferevent* stream = evhttp_connection_get_bufferevent(connection_);
  if (credit_ > 0) {
    pausedLimit_.reset();
    bufferevent_enable(stream, EV_READ);
    return;
  }
  bufferevent_disable(stream, EV_READ);
  if (!pausedLimit_) {
    pausedLimit_ = loop_.After(kPausedLimit, [this] { OnTimeout(); });
  }
}

void ForwardedCall::OnTimeout()
{
  if (isOver_) {
    return;
  }
  if (!wasSent_) {
    Fail("target-unreachable", peer::wire::NOT_RUN);
    return;
  }
  Fail("target-timeout", hasHead_ ? peer::wire::RUN : peer::wire::UNKNOWN);
}

bool ForwardedCall::IsKeptAlive(evhttp_request* aRequest) const
{
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(aRequest), "Connection");
  return value == nullptr || !common::EqualsIgnoringCase(value, "close");
}

void ForwardedCall::Release(bool aReuse)
{
  deadline_.reset();
  pausedLimit_.reset();
  readLater_.reset();
  if (connection_ == nullptr) {
    return;
  }
  isOver_ = true;
  evbuffer_remove_cb_entry(output_, outputWatch_);
  evhttp_connection* connection = std::exchange(connection_, nullptr);
  if (aReuse) {
    connections_.Return(connection, common::Now());
  } else {
    connections_.Discard(connection);
  }
}

void ForwardedCall::FinishLater()
{
  finishLater_ = loop_.After(common::Duration(0), [this] { finished_(key_); });
}

} // namespace dandelionstand::target
