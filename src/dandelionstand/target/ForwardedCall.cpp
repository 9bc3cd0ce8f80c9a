#include "dandelionstand/target/ForwardedCall.h"

#include "dandelionstand/common/EventLoop.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <string>
#include <utility>

namespace dandelionstand::target {

namespace {

constexpr int kMillisecondsPerSecond = 1000;
constexpr suseconds_t kMicrosecondsPerMillisecond = 1000;

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

} // namespace

ForwardedCall::ForwardedCall(common::EventLoop& aLoop,
                             peer::Transport& aTransport,
                             peer::PeerRef aFrom,
                             const peer::wire::CallStart& aStart,
                             const common::HostAndPort& aTarget,
                             Finished aFinished)
  : loop_(aLoop)
  , transport_(aTransport)
  , from_(std::move(aFrom))
  , requestId_(aStart.request_id())
  , attempt_(aStart.attempt())
  , finished_(std::move(aFinished))
  , connection_(
      evhttp_connection_base_new(aLoop.Base(), nullptr, aTarget.host_.c_str(), aTarget.port_))
  , hash_(XXH3_createState())
{
  XXH3_64bits_reset(hash_);
  const auto leftMs = static_cast<int>(aStart.time_left_ms());
  const timeval timeout{ leftMs / kMillisecondsPerSecond,
                         (leftMs % kMillisecondsPerSecond) * kMicrosecondsPerMillisecond };
  evhttp_connection_set_timeout_tv(connection_, &timeout);
  evhttp_request* request = evhttp_request_new(&OnDone, this);
  evhttp_request_set_header_cb(request, &OnHead);
  evhttp_request_set_chunked_cb(request, &OnData);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  for (const peer::wire::Header& header : aStart.headers()) {
    evhttp_add_header(headers, header.name().c_str(), header.value().c_str());
  }
  evhttp_add_header(headers, "Host", aTarget.host_.c_str());
  evhttp_add_header(headers, "Deadline-Ms", std::to_string(leftMs).c_str());
  evbuffer_add(
    evhttp_request_get_output_buffer(request), aStart.body().data(), aStart.body().size());
  evhttp_make_request(connection_, request, MethodOf(aStart.method()), aStart.path().c_str());
}

ForwardedCall::~ForwardedCall()
{
  evhttp_connection_free(connection_);
  XXH3_freeState(hash_);
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
  const bool isWhole = aRequest != nullptr && evhttp_request_get_response_code(aRequest) != 0;
  if (isWhole) {
    self->SendEnd();
  } else {
    self->SendFailed();
  }
  self->Finish();
}

void ForwardedCall::SendHead(evhttp_request* aRequest)
{
  hasHead_ = true;
  peer::wire::Envelope envelope;
  peer::wire::AnswerHead& head = *envelope.mutable_answer_head();
  head.set_request_id(requestId_);
  head.set_attempt(attempt_);
  head.set_status(static_cast<std::uint32_t>(evhttp_request_get_response_code(aRequest)));
  const evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    peer::wire::Header& added = *head.add_headers();
    added.set_name(header->key);
    added.set_value(header->value);
  }
  transport_.Send(from_, envelope);
}

void ForwardedCall::SendData(evhttp_request* aRequest)
{
  std::string data = common::BodyOf(aRequest);
  if (data.empty()) {
    return;
  }
  XXH3_64bits_update(hash_, data.data(), data.size());
  length_ += data.size();
  peer::wire::Envelope envelope;
  peer::wire::AnswerBody& body = *envelope.mutable_answer_body();
  body.set_request_id(requestId_);
  body.set_attempt(attempt_);
  body.set_sequence(sequence_++);
  body.set_data(std::move(data));
  transport_.Send(from_, envelope);
}

void ForwardedCall::SendEnd()
{
  peer::wire::Envelope envelope;
  peer::wire::AnswerEnd& end = *envelope.mutable_answer_end();
  end.set_request_id(requestId_);
  end.set_attempt(attempt_);
  end.set_length(length_);
  end.set_checksum(XXH3_64bits_digest(hash_));
  transport_.Send(from_, envelope);
}

void ForwardedCall::SendFailed()
{
  peer::wire::Envelope envelope;
  peer::wire::AnswerFailed& failed = *envelope.mutable_answer_failed();
  failed.set_request_id(requestId_);
  failed.set_attempt(attempt_);
  failed.set_reason(hasHead_ ? "answer-broke-off" : "no-answer-from-target");
  failed.set_run_state(peer::wire::UNKNOWN);
  transport_.Send(from_, envelope);
}

void ForwardedCall::Finish()
{
  // evhttp still uses the connection when it reports the end of a request.
  finishLater_ = loop_.After(common::Duration(0), [this] { finished_(this); });
}

} // namespace dandelionstand::target
