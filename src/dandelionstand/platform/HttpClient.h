#ifndef dandelionstand_platform_HttpClient_h
#define dandelionstand_platform_HttpClient_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct evhttp_connection;

namespace dandelionstand::platform {

struct HttpClientSettings
{
  common::Address address_;             //!< IP address and port of the server.
  std::string sourceAddress_;           //!< Local IP address; if empty, the system chooses it.
  std::size_t maxHeaderBytes_ = 16'384; //!< Larger response headers fail the request.
  std::size_t maxIdleConnections_ = 4;  //!< Connections kept open for reuse.
  common::Duration maxIdleTime_ = std::chrono::seconds(1); //!< For which they are reused.
  std::size_t maxBodyBytes_ = 65'536; //!< Limit of HttpResponse::body_; the rest is discarded.
};

enum class HttpMethod
{
  kGet,
  kPost,
};

struct HttpRequest
{
  HttpMethod method_ = HttpMethod::kGet;
  std::string target_;                         //!< Path and query.
  std::map<std::string, std::string> headers_; //!< Host defaults to the server's address.
  std::string body_;
  common::Duration timeout_{}; //!< From the call of Send to the end of the response.
  //! If set, receives the body of a 200 response piece by piece instead of HttpResponse::body_.
  //! Returning false ends the request early.
  std::function<bool(std::string_view)> onBody_;
};

enum class HttpOutcome
{
  kAnswered,   //!< The complete response arrived.
  kEndedEarly, //!< onBody_ returned false; status and headers are valid.
  kTimedOut,   //!< The request may have taken effect.
  kFailed,     //!< Connection refused or lost, or malformed response; may have taken effect.
};

struct HttpResponse
{
  HttpOutcome outcome_ = HttpOutcome::kFailed;
  int status_ = 0;
  std::map<std::string, std::string> headers_; //!< Keyed by lower-case name.
  std::string body_;
};

//! Header names are case-insensitive; maps of headers use lower-case names as keys.
std::string ToLowerCase(std::string aText);

//! Asynchronous HTTP/1.1 client for one server. Each request uses a connection exclusively while it
//! is in flight; a connection on which a request failed is never reused.
class HttpClient
{
public:
  using Callback = std::function<void(const HttpResponse&)>;

  HttpClient(common::EventLoop& aLoop, HttpClientSettings aSettings);
  //! Cancels all requests without calling their callbacks; must not be called from a callback.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  //! Calls the callback once, from the event loop, never from within Send.
  void Send(HttpRequest aRequest, Callback aCallback);

  std::size_t InFlightCount() const { return exchanges_.size(); }

private:
  class Exchange;
  struct ConnectionDeleter
  {
    void operator()(evhttp_connection* aConnection) const;
  };
  using Connection = std::unique_ptr<evhttp_connection, ConnectionDeleter>;
  struct IdleConnection
  {
    Connection connection_;
    common::TimePoint releasedAt_;
  };

  Connection AcquireConnection();
  void OnFinished(Exchange* aExchange, const HttpResponse& aResponse);
  bool IsReusable(const HttpResponse& aResponse) const;
  void DestroyFinished();

  common::EventLoop& loop_;
  HttpClientSettings settings_;
  common::HostAndPort server_;
  std::map<Exchange*, std::unique_ptr<Exchange>> exchanges_;
  std::vector<IdleConnection> idle_;
  //! Finished exchanges that libevent may still access in this iteration of the event loop.
  std::vector<std::unique_ptr<Exchange>> finished_;
  std::unique_ptr<common::Watch> destroyTimer_;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_HttpClient_h
