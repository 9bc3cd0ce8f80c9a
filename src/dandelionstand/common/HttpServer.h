#ifndef dandelionstand_common_HttpServer_h
#define dandelionstand_common_HttpServer_h

#include "dandelionstand/common/Ids.h"

#include <cstdint>
#include <functional>
#include <list>
#include <string>

struct evhttp;
struct evhttp_request;

namespace dandelionstand::common {

class EventLoop;

//! Host and port as numbers; see ParseAddress.
struct HostAndPort
{
  std::string host_;
  std::uint16_t port_ = 0;
};

//! Splits "127.0.0.1:7000"; false if it is not a host, a colon and a port.
bool ParseAddress(const std::string& aText, HostAndPort& aAddress);

//! A listening HTTP/1.1 server on evhttp.
class HttpServer
{
public:
  using Handler = std::function<void(evhttp_request*)>;

  //! Binds at once; port 0 takes a free one. Throws std::runtime_error if the address is taken.
  HttpServer(EventLoop& aLoop, const Address& aListen);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  //! Requests to exactly this path.
  void Handle(const std::string& aPath, Handler aHandler);
  //! All other requests.
  void HandleUnmatched(Handler aHandler);

  //! The address that the server listens at, with the real port.
  const Address& BoundAddress() const { return bound_; }
  evhttp* Get() const { return http_; }

private:
  evhttp* http_;
  Address bound_;
  std::list<Handler> handlers_; //!< evhttp keeps pointers into it.
};

//! Sends a whole small answer.
void SendReply(evhttp_request* aRequest,
               int aStatus,
               const std::string& aContentType,
               const std::string& aBody);

//! The request's body as text.
std::string BodyOf(evhttp_request* aRequest);

//! The value of a request header; empty if absent.
std::string HeaderOf(evhttp_request* aRequest, const char* aName);

} // namespace dandelionstand::common

#endif // dandelionstand_common_HttpServer_h
