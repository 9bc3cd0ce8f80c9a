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

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_Responder_h
