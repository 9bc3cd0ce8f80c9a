#ifndef dandelionstand_http_ClientConnection_h
#define dandelionstand_http_ClientConnection_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/http/ResponseReader.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct bufferevent;

namespace dandelionstand::http {

//! A request as a client sends it.
struct ClientRequest
{
  std::string method_;
  std::string target_;
  Headers headers_; //!< Without those that frame the message.
  std::string body_;
};

//! What went wrong with a request.
enum class ClientFailure
{
  kNotConnected, //!< No byte of the request can have reached the server.
  kBroken,       //!< The connection ended before the response was whole.
  kMalformed,    //!< What came was no response.
};

//! A client's connection that carries one request at a time.
class ClientConnection
{
public:
  struct Handlers
  {
    //! Whether a response belongs to the request; another one is read and dropped.
    std::function<bool(const ResponseHead&)> isOwn_;
    std::function<void(ResponseHead)> onHead_;
    std::function<void(std::string_view)> onBody_;
    //! The response is whole. aIsReusable tells whether another request may follow.
    std::function<void(bool aIsReusable)> onEnd_;
    std::function<void(ClientFailure)> onFailed_;
  };

  //! Connects at once, within aConnectTime.
  ClientConnection(common::EventLoop& aLoop,
                   const common::HostAndPort& aServer,
                   common::Duration aConnectTime);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  //! Sends a request. Must not be called while another one is under way.
  void Send(const ClientRequest& aRequest, Handlers aHandlers);
  //! Handlers are not called any more; the connection cannot be used again.
  void Cancel();
  //! Stops or continues the reading of the response.
  void SetReading(bool aIsReading);
  //! Called once if the server closes or speaks while no request is under way.
  void SetIdleEnded(std::function<void()> aEnded) { idleEnded_ = std::move(aEnded); }
  bool IsUsable() const { return stream_ != nullptr && !isUnusable_; }
  //! False if no byte of the request can have left the process.
  bool WasSent() const { return wasSent_; }
  const common::HostAndPort& Server() const { return server_; }

private:
  static void OnReadable(bufferevent* aStream, void* aSelf);
  static void OnEvent(bufferevent* aStream, short aWhat, void* aSelf);

  void Write(const ClientRequest& aRequest);
  void Read();
  void OnConnected();
  void OnClosed(bool aInOrder);
  void OnHead(ResponseHead aHead);
  void OnEnd();
  void Fail(ClientFailure aFailure);

  common::EventLoop& loop_;
  common::HostAndPort server_;
  bufferevent* stream_;
  ResponseReader reader_;
  Handlers handlers_;
  std::function<void()> idleEnded_;
  std::unique_ptr<common::Watch> connectTimer_;
  std::string method_;
  std::string waiting_; //!< A request that waits for the connection.
  bool isConnected_ = false;
  bool isBusy_ = false;
  bool isForeign_ = false; //!< The response that is being read belongs to no request of ours.
  bool wasSent_ = false;
  bool sawForeign_ = false;
  bool isUnusable_ = false;
};

} // namespace dandelionstand::http

#endif // dandelionstand_http_ClientConnection_h
