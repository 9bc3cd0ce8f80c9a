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

//! Listens for clients and keeps their connections.
class Server
{
public:
  struct Handlers
  {
    ServerConnection::OnRequest onRequest_;
    ServerConnection::OnRejected onRejected_;
    ServerConnection::LimitsSource limits_;
  };

  //! Binds at once; port 0 takes a free one. Throws std::runtime_error if the address is taken.
  Server(common::EventLoop& aLoop, const common::Address& aListen, Handlers aHandlers);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const common::Address& BoundAddress() const { return bound_; }
  //! ConnectionCount end after the responses that are due; new ones are still taken.
  void StartClosing();
  std::size_t ConnectionCount() const { return connections_.size(); }

private:
  static void OnAccept(evconnlistener* aListener,
                       int aDescriptor,
                       sockaddr* aAddress,
                       int aSize,
                       void* aSelf);
  void OnClosed(ServerConnection& aConnection);

  common::EventLoop& loop_;
  Handlers handlers_;
  evconnlistener* listener_;
  common::Address bound_;
  std::map<ServerConnection*, std::unique_ptr<ServerConnection>> connections_;
  //! Closed connections that the present turn of the loop may still use.
  std::vector<std::unique_ptr<ServerConnection>> closed_;
  std::unique_ptr<common::Watch> reaper_;
  bool isClosing_ = false;
};

} // namespace dandelionstand::http

#endif // dandelionstand_http_Server_h
