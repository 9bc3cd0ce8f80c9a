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

//! Counts one answer until it is written to the socket or its connection is closed.
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

//! Detects that the client has closed the connection while nothing is read or written.
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
    static_cast<Responder*>(aResponder)->NotifyClientDisconnect();
  }

  event* event_;
};

Responder::Responder(common::EventLoop& aLoop,
                     evhttp_request* aRequest,
                     std::shared_ptr<std::size_t> aUnsentAnswers)
  : loop_(aLoop)
  , request_(aRequest)
  , unsentAnswers_(std::move(aUnsentAnswers))
{
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  evhttp_connection_set_closecb(connection, &Responder::OnConnectionClosed, this);
  const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  closeWatch_ = std::make_unique<CloseWatch>(loop_.Base(), descriptor, this);
}

Responder::~Responder()
{
  Abort();
}

void Responder::Send(int aStatus, const HeaderMap& aHeaders, const std::string& aBody)
{
  if (request_ == nullptr) {
    return;
  }
  evhttp_request* request = request_;
  Detach();
  AddHeaders(request, aHeaders);
  evbuffer_add(evhttp_request_get_output_buffer(request), aBody.data(), aBody.size());
  UnsentAnswer::Track(request, unsentAnswers_);
  evhttp_send_reply(request, aStatus, nullptr, nullptr);
}

void Responder::StartBody(int aStatus, const HeaderMap& aHeaders, std::uint64_t aLength)
{
  if (request_ == nullptr) {
    return;
  }
  AddHeaders(request_, aHeaders);
  // With a Content-Length, evhttp sends the pieces without chunked encoding.
  AddHeaders(request_, { { "Content-Length", std::to_string(aLength) } });
  evhttp_send_reply_start(request_, aStatus, nullptr);
}

void Responder::SendPiece(const std::string& aPiece, std::function<void()> aOnSent)
{
  if (request_ == nullptr) {
    return;
  }
  onPieceSent_ = std::move(aOnSent);
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
  Detach();
  UnsentAnswer::Track(request, unsentAnswers_);
  evhttp_send_reply_end(request);
}

void Responder::Abort()
{
  if (request_ == nullptr) {
    return;
  }
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  Detach();
  bufferevent* stream = evhttp_connection_get_bufferevent(connection);
  bufferevent_setcb(stream, nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(stream, EV_READ | EV_WRITE);
  // evhttp may be in a callback of this connection, so free it on the next turn of the loop.
  loop_.Post([connection]() { evhttp_connection_free(connection); });
}

void Responder::OnConnectionClosed(evhttp_connection*, void* aSelf)
{
  auto* self = static_cast<Responder*>(aSelf);
  self->request_ = nullptr;
  self->NotifyClientDisconnect();
}

void Responder::OnPieceSent(evhttp_connection*, void* aSelf)
{
  const std::function<void()> onSent = std::move(static_cast<Responder*>(aSelf)->onPieceSent_);
  if (onSent) {
    onSent();
  }
}

void Responder::NotifyClientDisconnect()
{
  closeWatch_.reset();
  const std::function<void()> onDisconnect = std::exchange(onClientDisconnect_, nullptr);
  if (onDisconnect) {
    onDisconnect();
  }
}

void Responder::Detach()
{
  closeWatch_.reset();
  evhttp_connection_set_closecb(evhttp_request_get_connection(request_), nullptr, nullptr);
  request_ = nullptr;
}

} // namespace dandelionstand::standins
