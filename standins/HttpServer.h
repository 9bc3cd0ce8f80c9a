#ifndef dandelionstand_standins_HttpServer_h
#define dandelionstand_standins_HttpServer_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace dandelionstand::standins {

using HeaderMap = std::map<std::string, std::string>;

//! The way back to the client of one request. It may be kept and used after the handler returns.
class Responder
{
public:
  //! aUnsent counts the whole answers of the server that have not yet left for the socket.
  Responder(common::EventLoop& aLoop,
            evhttp_request* aRequest,
            std::shared_ptr<std::size_t> aUnsent);
  ~Responder();
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  //! Sends a whole answer. Does nothing if the client has gone.
  void Send(int aStatus, const HeaderMap& aHeaders, const std::string& aBody);

  //! Starts an answer of a known length, whose body follows piece by piece.
  void StartBody(int aStatus, const HeaderMap& aHeaders, std::uint64_t aLength);
  //! Sends a piece; aOnSent is called once it has left for the socket.
  void SendPiece(const std::string& aPiece, std::function<void()> aOnSent);
  void EndBody();

  //! Closes the connection without (the rest of) an answer.
  void Drop();

  //! Calls aAction once if the client closes before the answer is complete.
  void OnClientGone(std::function<void()> aAction) { onGone_ = std::move(aAction); }
  bool IsOpen() const { return request_ != nullptr; }

private:
  static void OnConnectionClosed(evhttp_connection* aConnection, void* aSelf);
  static void OnPieceSent(evhttp_connection* aConnection, void* aSelf);
  void NoteGone();
  void Release();

  common::EventLoop& loop_;
  evhttp_request* request_;
  struct CloseWatch;
  std::unique_ptr<CloseWatch> closeWatch_;
  std::function<void()> onGone_;
  std::function<void()> onSent_;
  std::shared_ptr<std::size_t> unsent_;
};

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
