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

//! One request of a client and its response. Responses leave the connection in the order of their
//! requests; one that is ready early waits in the exchange.
class ServerExchange
{
public:
  using Gone = std::function<void()>;
  using Taken = std::function<void(std::uint32_t aBytes)>;
  //! Called once: the response is written whole, or the connection is gone.
  using Ended = std::function<void()>;

  ServerExchange(ServerConnection& aConnection, Request aRequest);

  //! Moves the request out.
  Request ExtractRequest() { return std::move(request_); }

  //! aGone is called if the client leaves before its response was written whole.
  void Watch(Gone aGone, Taken aTaken);
  void Unwatch();
  void SetOnEnded(Ended aEnded) { ended_ = std::move(aEnded); }

  //! Begins the response; without a length the body goes in chunks.
  void SendHead(const ResponseHead& aHead, std::optional<std::uint64_t> aLength);
  void SendBody(const std::string& aData);
  void Finish();
  //! Head, body and end at once.
  void Reply(const ResponseHead& aHead, const std::string& aBody);
  //! Resets the connection, so that the client sees that the response is not whole.
  void Abort();

private:
  friend class ServerConnection;

  void Write(const std::string& aBytes);

  ServerConnection& connection_;
  Request request_;
  const std::string method_;
  const bool isHttp11_;
  const bool isKeptAlive_;
  std::string early_; //!< Response bytes that wait for earlier responses.
  bool isStarted_ = false;
  bool isFirst_ = false;
  bool isAborted_ = false;
  bool isFinished_ = false;
  bool isChunked_ = false;
  bool hasBody_ = true;
  bool closes_ = false; //!< The connection ends with this response.
  Gone gone_;
  Taken taken_;
  Ended ended_;
};

} // namespace dandelionstand::http

#endif // dandelionstand_http_ServerExchange_h
