#ifndef dandelionstand_standins_HttpServer_h
#define dandelionstand_standins_HttpServer_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Ids.h"
#include "standins/Responder.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace dandelionstand::standins {

struct ServerRequest
{
  std::string method_;
  std::string path_;
  std::map<std::string, std::string> query_;
  HeaderMap headers_; //!< By lower-case name.
  std::string body_;
  std::string clientIp_;
  std::shared_ptr<Responder> responder_;

  //! The header, or "".
  std::string Header(const std::string& aLowerCaseName) const;
  //! The number of that name in the query, or the default.
  std::uint64_t QueryNumber(const std::string& aName, std::uint64_t aDefault) const;
};

//! HTTP server of a stand-in.
class HttpServer
{
public:
  using Handler = std::function<void(const ServerRequest&)>;

  //! Binds to "ip:port"; port 0 takes a free one.
  HttpServer(common::EventLoop& aLoop, const common::Address& aListen, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  //! The address that was bound.
  const common::Address& ListeningAddress() const { return address_; }
  //! Takes no new connection from now on.
  void StopAccepting();
  //! Answers that were handed over whole and have not yet left for the socket.
  std::size_t UnsentCount() const { return *unsent_; }

private:
  static void OnRequest(evhttp_request* aRequest, void* aSelf);

  common::EventLoop& loop_;
  Handler handler_;
  std::shared_ptr<std::size_t> unsent_ = std::make_shared<std::size_t>(0);
  evhttp* http_;
  evhttp_bound_socket* socket_ = nullptr;
  common::Address address_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_HttpServer_h
