#ifndef dandelionstand_http_ServerExchange_h
#define dandelionstand_http_ServerExchange_h

#include "dandelionstand/http/Message.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace dandelionstand::http {

class ServerConnection;

//! A request of a client and its response. Responses are sent in the order of their requests; the
//! exchange buffers a response until those before it are sent.
class ServerExchange
{
public:
  using OnDisconnected = std::function<void()>;
  using OnBytesSent = std::function<void(std::uint32_t aBytes)>;
  //! Called once, at the end of the exchange: when the last byte of the response has been passed to
  //! the kernel (aIsSent), or when the connection is closed before.
  using OnEnded = std::function<void(bool aIsSent)>;

  ServerExchange(ServerConnection& aConnection, Request aRequest);

  //! Moves out the request.
  Request ExtractRequest() { return std::move(request_); }

  //! Sets callbacks for this exchange. aOnDisconnected is called if the connection is closed before
  //! Finish, aOnBytesSent when bytes of the response have been passed to the kernel.
  void Watch(OnDisconnected aOnDisconnected, OnBytesSent aOnBytesSent);
  void Unwatch();
  void SetOnEnded(OnEnded aOnEnded) { onEnded_ = std::move(aOnEnded); }

  //! Sends the head. Without a length the body is chunked, or for HTTP/1.0 ends with the
  //! connection.
  void SendHead(const ResponseHead& aHead, std::optional<std::uint64_t> aLength);
  void SendBody(const std::string& aData);
  //! No more of the response follows. The exchange ends later, when all of it is sent.
  void Finish();
  //! Sends a complete response.
  void Reply(const ResponseHead& aHead, const std::string& aBody);
  //! Closes the connection, so that the client detects the incomplete response: after the responses
  //! before it if they are still being sent, and with a reset otherwise.
  void Abort();
  //! Discards the response so far, so that another one can be sent. False if some of it is sent.
  bool Discard();
  //! Whether all earlier responses of the connection are sent.
  bool IsNext() const;

private:
  friend class ServerConnection;

  void Write(const std::string& aBytes);

  ServerConnection& connection_;
  Request request_;
  const std::string method_;
  const bool isHttp11_;
  const bool isKeptAlive_;
  std::string bufferedResponse_; //!< Held back until the earlier responses are sent.
  bool isDispatched_ = false;
  bool isFront_ = false;
  bool isAborted_ = false;
  bool isFinished_ = false;
  bool isChunked_ = false;
  bool hasBody_ = true;
  bool endsWithConnection_ = false; //!< The end of the connection is the end of the body.
  bool closesConnection_ = false;   //!< The connection is closed after this response.
  OnDisconnected onDisconnected_;
  OnBytesSent onBytesSent_;
  OnEnded onEnded_;
};

} // namespace dandelionstand::http

#endif // dandelionstand_http_ServerExchange_h
