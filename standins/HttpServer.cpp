#include "standins/HttpServer.h"

#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/platform/HttpClient.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace dandelionstand::standins {

namespace {

constexpr ev_ssize_t kMaxBodyBytes = 67'108'864;
constexpr ev_uint16_t kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                    EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                    EVHTTP_REQ_PATCH;

const char* MethodName(evhttp_cmd_type aCommand)
{
  switch (aCommand) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "OTHER";
  }
}

std::map<std::string, std::string> ToMap(const evkeyvalq* aPairs)
{
  std::map<std::string, std::string> pairs;
  for (const evkeyval* pair = aPairs->tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
    pairs[platform::ToLowerCase(pair->key)] = pair->value;
  }
  return pairs;
}

std::string ReadBody(evhttp_request* aRequest)
{
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

std::string ClientIp(evhttp_request* aRequest)
{
  char* address = nullptr;
  ev_uint16_t port = 0;
  evhttp_connection_get_peer(evhttp_request_get_connection(aRequest), &address, &port);
  return address == nullptr ? "" : address;
}

common::Address BoundAddress(evhttp_bound_socket* aSocket)
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(aSocket), reinterpret_cast<sockaddr*>(&address), &length);
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return common::Address(std::string(text) + ":" + std::to_string(ntohs(address.sin_port)));
}

} // namespace

std::string ServerRequest::Header(const std::string& aLowerCaseName) const
{
  const auto found = headers_.find(aLowerCaseName);
  return found == headers_.end() ? "" : found->second;
}

std::uint64_t ServerRequest::QueryNumber(const std::string& aName, std::uint64_t aDefault) const
{
  const auto found = query_.find(aName);
  return found == query_.end() ? aDefault : std::strtoull(found->second.c_str(), nullptr, 10);
}

HttpServer::HttpServer(common::EventLoop& aLoop, const common::Address& aListen, Handler aHandler)
  : loop_(aLoop)
  , handler_(std::move(aHandler))
  , http_(evhttp_new(aLoop.Base()))
{
  common::HostAndPort listen;
  evhttp_set_gencb(http_, &HttpServer::OnRequest, this);
  evhttp_set_max_body_size(http_, kMaxBodyBytes);
  evhttp_set_allowed_methods(http_, kAllMethods);
  if (common::ParseAddress(aListen.Get(), listen)) {
    socket_ = evhttp_bind_socket_with_handle(http_, listen.host_.c_str(), listen.port_);
  }
  if (socket_ == nullptr) {
    evhttp_free(http_);
    throw std::runtime_error("cannot listen on " + aListen.Get());
  }
  address_ = BoundAddress(socket_);
}

HttpServer::~HttpServer()
{
  evhttp_free(http_);
}

void HttpServer::StopAccepting()
{
  if (socket_ != nullptr) {
    evhttp_del_accept_socket(http_, std::exchange(socket_, nullptr));
  }
}

void HttpServer::OnRequest(evhttp_request* aRequest, void* aSelf)
{
  auto* self = static_cast<HttpServer*>(aSelf);
  ServerRequest request;
  request.method_ = MethodName(evhttp_request_get_command(aRequest));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest);
  const char* path = evhttp_uri_get_path(uri);
  request.path_ = path == nullptr || *path == '\0' ? "/" : path;
  if (const char* query = evhttp_uri_get_query(uri); query != nullptr) {
    evkeyvalq pairs{};
    if (evhttp_parse_query_str(query, &pairs) == 0) {
      request.query_ = ToMap(&pairs);
      evhttp_clear_headers(&pairs);
    }
  }
  request.headers_ = ToMap(evhttp_request_get_input_headers(aRequest));
  request.body_ = ReadBody(aRequest);
  request.clientIp_ = ClientIp(aRequest);
  request.responder_ = std::make_shared<Responder>(self->loop_, aRequest, self->unsentAnswers_);
  self->handler_(request);
}

} // namespace dandelionstand::standins
