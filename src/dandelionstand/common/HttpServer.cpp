#include "dandelionstand/common/HttpServer.h"

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/MessageGuard.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <new>
#include <stdexcept>
#include <utility>

namespace dandelionstand::common {

namespace {

//! A response is written in pieces; Nagle's algorithm would delay the later ones until the ACK of
//! the first, which the client may delay too.
void DisableNagle(evhttp_request* aRequest)
{
  bufferevent* connection =
    evhttp_connection_get_bufferevent(evhttp_request_get_connection(aRequest));
  const int noDelay = 1;
  setsockopt(bufferevent_getfd(connection), IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
}

void CallHandler(evhttp_request* aRequest, void* aHandler)
{
  DisableNagle(aRequest);
  const bool isHandled = HandleMessage(
    "http-request", [&] { (*static_cast<HttpServer::Handler*>(aHandler))(aRequest); });
  if (!isHandled) {
    evhttp_send_error(aRequest, HTTP_INTERNAL, nullptr);
  }
}

std::uint16_t PortOf(evhttp_bound_socket* aSocket)
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(aSocket), reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

} // namespace

bool ParseAddress(const std::string& aText, HostAndPort& aAddress)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  aAddress.host_ = aText.substr(0, colon);
  const char* const first = aText.data() + colon + 1;
  const char* const last = aText.data() + aText.size();
  const auto parsed = std::from_chars(first, last, aAddress.port_);
  in_addr ignored{};
  return parsed.ec == std::errc() && parsed.ptr == last &&
         inet_pton(AF_INET, aAddress.host_.c_str(), &ignored) == 1;
}

std::optional<HostAndPort> ParseRemoteAddress(const std::string& aText)
{
  HostAndPort address;
  const bool isValid = ParseAddress(aText, address) && address.port_ != 0;
  return isValid ? std::optional(address) : std::nullopt;
}

HttpServer::HttpServer(EventLoop& aLoop, const Address& aListenAddress)
  : http_(evhttp_new(aLoop.Base()))
{
  if (http_ == nullptr) {
    throw std::bad_alloc();
  }
  // Without this flag, a client that is still sending a too large body gets a connection reset
  // instead of the 413 response.
  evhttp_set_flags(http_, EVHTTP_SERVER_LINGERING_CLOSE);
  HostAndPort listen;
  evhttp_bound_socket* socket = nullptr;
  if (ParseAddress(aListenAddress.Get(), listen)) {
    socket = evhttp_bind_socket_with_handle(http_, listen.host_.c_str(), listen.port_);
  }
  if (socket == nullptr) {
    evhttp_free(http_);
    throw std::runtime_error("cannot listen at " + aListenAddress.Get());
  }
  boundAddress_ = Address(listen.host_ + ":" + std::to_string(PortOf(socket)));
}

HttpServer::~HttpServer()
{
  evhttp_free(http_);
}

void HttpServer::Handle(const std::string& aPath, Handler aHandler)
{
  handlers_.push_back(std::move(aHandler));
  evhttp_set_cb(http_, aPath.c_str(), &CallHandler, &handlers_.back());
}

void HttpServer::HandleUnmatched(Handler aHandler)
{
  handlers_.push_back(std::move(aHandler));
  evhttp_set_gencb(http_, &CallHandler, &handlers_.back());
}

void SendReply(evhttp_request* aRequest,
               int aStatus,
               const std::string& aContentType,
               const std::string& aBody)
{
  evkeyvalq* headers = evhttp_request_get_output_headers(aRequest);
  evhttp_add_header(headers, "Content-Type", aContentType.c_str());
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, aBody.data(), aBody.size());
  evhttp_send_reply(aRequest, aStatus, nullptr, body);
  evbuffer_free(body);
}

std::string BodyOf(evhttp_request* aRequest)
{
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, body.data(), body.size());
  return body;
}

std::string HeaderOf(evhttp_request* aRequest, const char* aName)
{
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(aRequest), aName);
  return value == nullptr ? "" : value;
}

} // namespace dandelionstand::common
