#ifndef dandelionstand_http_Server_h
#define dandelionstand_http_Server_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/http/ServerConnection.h"

#include <map>
#include <memory>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace dandelionstand::http {

//! HTTP/1.1 server that accepts clients and owns their connections.
class Server
{
public:
  struct Handlers
  {
    ServerConnection::OnRequest onRequest_;
    ServerConnection::OnRejected onRejected_;
    ServerConnection::LimitsSource limits_;
    ServerConnection::OnAbandoned onAbandoned_;
  };

  //! Binds the address; port 0 selects a free port. Throws std::runtime_error if binding fails.
  Server(common::EventLoop& aLoop, const common::Address& aListenAddress, Handlers aHandlers);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  //! The address that the server listens on; its port is the bound one, never 0.
  const common::Address& BoundAddress() const { return boundAddress_; }
  //! From now on each connection is closed after its next response. New connections are still
  //! accepted and serve one request each.
  void StartClosing();
  std::size_t ConnectionCount() const { return connections_.size(); }

private:
  void AddConnection(int aDescriptor);
  static void OnAccept(evconnlistener* aListener,
                       int aDescriptor,
                       sockaddr* aAddress,
                       int aSize,
                       void* aSelf);
  void OnClosed(ServerConnection& aConnection);

  common::EventLoop& loop_;
  Handlers handlers_;
  evconnlistener* listener_;
  common::Address boundAddress_;
  std::map<ServerConnection*, std::unique_ptr<ServerConnection>> connections_;
  //! Closed connections that functions on the call stack may still use; destroyed in the next loop
  //! iteration.
  std::vector<std::unique_ptr<ServerConnection>> closedConnections_;
  std::unique_ptr<common::Watch> reaperTimer_;
  bool isClosing_ = false;
};

} // namespace dandelionstand::http

#endif // dandelionstand_http_Server_h
