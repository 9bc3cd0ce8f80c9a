#ifndef dandelionstand_common_HttpServer_h
#define dandelionstand_common_HttpServer_h

#include "dandelionstand/common/Ids.h"

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>

struct evhttp;
struct evhttp_request;

namespace dandelionstand::common {

class EventLoop;

//! An IPv4 address and a port; see ParseAddress.
struct HostAndPort
{
  std::string host_;
  std::uint16_t port_ = 0;
};

//! Parses an IPv4 address with a port, such as "127.0.0.1:7000". Returns false for any other text.
bool ParseAddress(const std::string& aText, HostAndPort& aAddress);

//! Parses an address to connect to, which cannot have port 0; nullopt for any other text.
std::optional<HostAndPort> ParseRemoteAddress(const std::string& aText);

//! An HTTP/1.1 server based on evhttp. If a handler throws, its request is answered with 500; it
//! must not have been answered before.
class HttpServer
{
public:
  using Handler = std::function<void(evhttp_request*)>;

  //! Binds the address; port 0 selects a free port. Throws std::runtime_error if binding fails.
  HttpServer(EventLoop& aLoop, const Address& aListenAddress);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  //! Sets the handler for requests with exactly this path.
  void Handle(const std::string& aPath, Handler aHandler);
  //! Sets the handler for requests whose path has no handler.
  void HandleUnmatched(Handler aHandler);

  //! The address that the server listens on; its port is the bound one, never 0.
  const Address& BoundAddress() const { return boundAddress_; }
  evhttp* Get() const { return http_; }

private:
  evhttp* http_;
  Address boundAddress_;
  std::list<Handler> handlers_; //!< A list, since evhttp holds pointers to its elements.
};

//! Sends a complete response.
void SendReply(evhttp_request* aRequest,
               int aStatus,
               const std::string& aContentType,
               const std::string& aBody);

//! Returns a copy of the request's body.
std::string BodyOf(evhttp_request* aRequest);

//! Returns the value of a request header, or an empty string if it is absent.
std::string HeaderOf(evhttp_request* aRequest, const char* aName);

} // namespace dandelionstand::common

#endif // dandelionstand_common_HttpServer_h
