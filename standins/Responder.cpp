#include "standins/Responder.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <utility>

namespace dandelionstand::standins {

namespace {

void AddHeaders(evhttp_request* aRequest, const HeaderMap& aHeaders)
{
  evkeyvalq* out = evhttp_request_get_output_headers(aRequest);
  for (const auto& [name, value] : aHeaders) {
    evhttp_add_header(out, name.c_str(), value.c_str());
  }
}

//! Counts one answer until it has left or its connection has closed.
class UnsentAnswer
{
public:
  static void Track(evhttp_request* aRequest, std::shared_ptr<std::size_t> aCount)
  {
    auto* answer = new UnsentAnswer(std::move(aCount));
    evhttp_request_set_on_complete_cb(aRequest, &UnsentAnswer::OnSent, answer);
    evhttp_connection* connection = evhttp_request_get_connection(aRequest);
    evhttp_connection_set_closecb(connection, &UnsentAnswer::OnClosed, answer);
  }

private:
  explicit UnsentAnswer(std::shared_ptr<std::size_t> aCount)
    : count_(std::move(aCount))
  {
    ++*count_;
  }
  ~UnsentAnswer() { --*count_; }

  static void OnSent(evhttp_request* aRequest, void* aSelf)
  {
    evhttp_connection_set_closecb(evhttp_request_get_connection(aRequest), nullptr, nullptr);
    delete static_cast<UnsentAnswer*>(aSelf);
  }
  static void OnClosed(evhttp_connection*, void* aSelf)
  {
    delete static_cast<UnsentAnswer*>(aSelf);
  }

  std::shared_ptr<std::size_t> count_;
};

} // namespace

//! Notices that the client has closed while no byte is read or written.
struct Responder::CloseWatch
{
  CloseWatch(event_base* aBase, int aDescriptor, Responder* aResponder)
    : event_(event_new(aBase, aDescriptor, EV_CLOSED, &CloseWatch::Fire, aResponder))
  {
    event_add(event_, nullptr);
  }
  ~CloseWatch() { event_free(event_); }
  CloseWatch(const CloseWatch&) = delete;
  CloseWatch& operator=(const CloseWatch&) = delete;

  static void Fire(evutil_socket_t, short, void* aResponder)
  {
    static_cast<Responder*>(aResponder)->NoteGone();
  }

  event* event_;
};

Responder::Responder(common::EventLoop& aLoop,
                     evhttp_request* aRequest,
                     std::shared_ptr<std::size_t> aUnsent)
  : loop_(aLoop)
  , request_(aRequest)
  , unsent_(std::move(aUnsent))
{
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  evhttp_connection_set_closecb(connection, &Responder::OnConnectionClosed, this);
  const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  closeWatch_ = std::make_unique<CloseWatch>(loop_.Base(), descriptor, this);
}

Responder::~Responder()
{
  Drop();
}

void Responder::Send(int aStatus, const HeaderMap& aHeaders, const std::string& aBody)
{
  if (request_ == nullptr) {
    return;
  }
  evhttp_request* request = request_;
  Release();
  AddHeaders(request, aHeaders);
  evbuffer_add(evhttp_request_get_output_buffer(request), aBody.data(), aBody.size());
  UnsentAnswer::Track(request, unsent_);
  evhttp_send_reply(request, aStatus, nullptr, nullptr);
}

void Responder::StartBody(int aStatus, const HeaderMap& aHeaders, std::uint64_t aLength)
{
  if (request_ == nullptr) {
    return;
  }
  AddHeaders(request_, aHeaders);
  // With a length given, evhttp sends the pieces without chunked encoding.
  AddHeaders(request_, { { "Content-Length", std::to_string(aLength) } });
  evhttp_send_reply_start(request_, aStatus, nullptr);
}

void Responder::SendPiece(const std::string& aPiece, std::function<void()> aOnSent)
{
  if (request_ == nullptr) {
    return;
  }
  onSent_ = std::move(aOnSent);
  evbuffer* piece = evbuffer_new();
  evbuffer_add(piece, aPiece.data(), aPiece.size());
  evhttp_send_reply_chunk_with_cb(request_, piece, &Responder::OnPieceSent, this);
  evbuffer_free(piece);
}

void Responder::EndBody()
{
  if (request_ == nullptr) {
    return;
  }
  evhttp_request* request = request_;
  Release();
  UnsentAnswer::Track(request, unsent_);
  evhttp_send_reply_end(request);
}

void Responder::Drop()
{
  if (request_ == nullptr) {
    return;
  }
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  Release();
  bufferevent* stream = evhttp_connection_get_bufferevent(connection);
  bufferevent_setcb(stream, nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(stream, EV_READ | EV_WRITE);
  // The connection may be in the middle of a callback of evhttp.
  loop_.Post([connection]() { evhttp_connection_free(connection); });
}

void Responder::OnConnectionClosed(evhttp_connection*, void* aSelf)
{
  auto* self = static_cast<Responder*>(aSelf);
  self->request_ = nullptr;
  self->NoteGone();
}

void Responder::OnPieceSent(evhttp_connection*, void* aSelf)
{
  const std::function<void()> onSent = std::move(static_cast<Responder*>(aSelf)->onSent_);
  if (onSent) {
    onSent();
  }
}

void Responder::NoteGone()
{
  closeWatch_.reset();
  const std::function<void()> onGone = std::exchange(onGone_, nullptr);
  if (onGone) {
    onGone();
  }
}

void Responder::Release()
{
  closeWatch_.reset();
  evhttp_connection_set_closecb(evhttp_request_get_connection(request_), nullptr, nullptr);
  request_ = nullptr;
}

} // namespace dandelionstand::standins
