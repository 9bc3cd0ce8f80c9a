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
  HeaderMap headers_; //!< Keyed by lower-case name.
  std::string body_;
  std::string clientIp_;
  std::shared_ptr<Responder> responder_;

  //! Returns "" if the header is absent.
  std::string Header(const std::string& aLowerCaseName) const;
  //! Returns aDefault if the query parameter is absent.
  std::uint64_t QueryNumber(const std::string& aName, std::uint64_t aDefault) const;
};

//! The HTTP server that all stand-ins but the endpoint use.
class HttpServer
{
public:
  using Handler = std::function<void(const ServerRequest&)>;

  //! Binds to "ip:port"; port 0 selects a free port.
  HttpServer(common::EventLoop& aLoop, const common::Address& aListen, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  //! Contains the selected port if the server was bound to port 0.
  const common::Address& ListeningAddress() const { return address_; }
  //! Stops accepting new connections; open ones are served further.
  void StopAccepting();
  //! Number of complete answers that are not yet written to their sockets.
  std::size_t UnsentAnswerCount() const { return *unsentAnswers_; }

private:
  static void OnRequest(evhttp_request* aRequest, void* aSelf);

  common::EventLoop& loop_;
  Handler handler_;
  std::shared_ptr<std::size_t> unsentAnswers_ = std::make_shared<std::size_t>(0);
  evhttp* http_;
  evhttp_bound_socket* socket_ = nullptr;
  common::Address address_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_HttpServer_h
