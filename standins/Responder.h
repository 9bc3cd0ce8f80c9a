#ifndef dandelionstand_standins_Responder_h
#define dandelionstand_standins_Responder_h

#include "dandelionstand/common/EventLoop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct evhttp_connection;
struct evhttp_request;

namespace dandelionstand::standins {

using HeaderMap = std::map<std::string, std::string>;

//! Sends the answer to one HTTP request. May be stored and used after the request handler returns.
class Responder
{
public:
  //! aUnsentAnswers is the server's count of complete answers that are not yet written to their
  //! sockets.
  Responder(common::EventLoop& aLoop,
            evhttp_request* aRequest,
            std::shared_ptr<std::size_t> aUnsentAnswers);
  ~Responder();
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  //! Sends a complete answer. Does nothing if the client has closed the connection.
  void Send(int aStatus, const HeaderMap& aHeaders, const std::string& aBody);

  //! Starts an answer with a body of aLength bytes, which SendPiece then sends.
  void StartBody(int aStatus, const HeaderMap& aHeaders, std::uint64_t aLength);
  //! Calls aOnSent once the piece is written to the socket.
  void SendPiece(const std::string& aPiece, std::function<void()> aOnSent);
  void EndBody();

  //! Closes the connection without completing the answer.
  void Abort();

  //! Calls aAction once if the client closes the connection before the answer is complete.
  void OnClientDisconnect(std::function<void()> aAction)
  {
    onClientDisconnect_ = std::move(aAction);
  }
  bool IsOpen() const { return request_ != nullptr; }

private:
  static void OnConnectionClosed(evhttp_connection* aConnection, void* aSelf);
  static void OnPieceSent(evhttp_connection* aConnection, void* aSelf);
  void NotifyClientDisconnect();
  //! Gives up the request, so that closing its connection no longer calls back.
  void Detach();

  common::EventLoop& loop_;
  evhttp_request* request_;
  struct CloseWatch;
  std::unique_ptr<CloseWatch> closeWatch_;
  std::function<void()> onClientDisconnect_;
  std::function<void()> onPieceSent_;
  std::shared_ptr<std::size_t> unsentAnswers_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_Responder_h
