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
  common::Address address_;             //!< Host (an IP number) and port of the server.
  std::string sourceAddress_;           //!< Local IP number; empty leaves it to the system.
  std::size_t maxHeaderBytes_ = 16'384; //!< Longer answer headers fail the request.
  std::size_t maxIdleConnections_ = 4;  //!< Connections kept open for reuse.
  std::size_t maxBodyBytes_ = 65'536;   //!< Kept of a body that no onBody_ takes.
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
  std::map<std::string, std::string> headers_; //!< Host, if absent, is the server's address.
  std::string body_;
  common::Duration timeout_{}; //!< From the call of Send to the end of the answer.
  //! Takes the body of a 200 in pieces instead of HttpResponse::body_; false ends the answer early.
  std::function<bool(std::string_view)> onBody_;
};

enum class HttpOutcome
{
  kAnswered,   //!< The whole answer arrived.
  kEndedEarly, //!< onBody_ returned false; status and headers are valid.
  kTimedOut,   //!< The request may have taken effect.
  kFailed,     //!< Connection refused or broken, or a malformed answer; may have taken effect.
};

struct HttpResponse
{
  HttpOutcome outcome_ = HttpOutcome::kFailed;
  int status_ = 0;
  std::map<std::string, std::string> headers_; //!< By lower-case name.
  std::string body_;
};

//! Header names have no case; maps of headers have them in this form.
std::string ToLowerCase(std::string aText);

//! Asynchronous HTTP/1.1 client for one server. Each request has a connection of its own while it
//! runs; a connection on which anything went wrong is never used again.
class HttpClient
{
public:
  using Callback = std::function<void(const HttpResponse&)>;

  HttpClient(common::EventLoop& aLoop, HttpClientSettings aSettings);
  //! Ends all requests without calling their callbacks; must not be called from a callback.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  //! The callback is called once, from the event loop, never from within Send.
  void Send(HttpRequest aRequest, Callback aCallback);

  std::size_t InFlightCount() const { return exchanges_.size(); }

private:
  class Exchange;
  struct ConnectionDeleter
  {
    void operator()(evhttp_connection* aConnection) const;
  };
  using Connection = std::unique_ptr<evhttp_connection, ConnectionDeleter>;

  Connection TakeConnection();
  void Finish(Exchange* aExchange, const HttpResponse& aAnswer);
  bool IsReusable(const HttpResponse& aAnswer) const;
  void Reap();

  common::EventLoop& loop_;
  HttpClientSettings settings_;
  common::HostAndPort server_;
  std::map<Exchange*, std::unique_ptr<Exchange>> exchanges_;
  std::vector<Connection> idle_;
  //! Ended objects that libevent may still use in the present turn of the loop.
  std::vector<std::unique_ptr<Exchange>> ended_;
  std::unique_ptr<common::Watch> reaper_;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_HttpClient_h
