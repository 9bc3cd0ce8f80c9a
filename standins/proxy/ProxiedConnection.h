#ifndef dandelionstand_standins_proxy_ProxiedConnection_h
#define dandelionstand_standins_proxy_ProxiedConnection_h

#include "dandelionstand/common/EventLoop.h"
#include "standins/proxy/Border.h"
#include "standins/proxy/Flow.h"

#include <netinet/in.h>

#include <functional>
#include <memory>
#include <optional>

struct bufferevent;

namespace dandelionstand::standins {

//! What a connection needs to know to be passed on.
struct ConnectionPlan
{
  int descriptor_ = -1;  //!< The accepted socket; the connection takes it over.
  sockaddr_in client_{}; //!< Also the source IP of the connection onwards.
  sockaddr_in forward_{};
  BorderId border_; //!< From the client to the server.
};

//! A connection from a client through the proxy to a server.
class ProxiedConnection
{
public:
  //! aOnClosed is called once when the connection is over; it may destroy the connection later,
  //! but not at once.
  ProxiedConnection(common::EventLoop& aLoop,
                    Borders& aBorders,
                    const ConnectionPlan& aPlan,
                    std::function<void()> aOnClosed);
  ~ProxiedConnection();
  ProxiedConnection(const ProxiedConnection&) = delete;
  ProxiedConnection& operator=(const ProxiedConnection&) = delete;

  BorderId Id() const { return plan_.border_; }
  bool IsClosed() const { return isClosed_; }
  //! Applies rules that have changed.
  void OnRulesChanged();
  //! Passes nothing on from now on, not even a close.
  void Freeze();
  //! Closes both ends with a reset.
  void Reset();

private:
  struct BuffereventDeleter
  {
    void operator()(bufferevent* aEvents) const;
  };
  using End = std::unique_ptr<bufferevent, BuffereventDeleter>;

  static void OnReadable(bufferevent* aEvents, void* aSelf);
  static void OnWritten(bufferevent* aEvents, void* aSelf);
  static void OnEvent(bufferevent* aEvents, short aWhat, void* aSelf);

  End MakeEnd(int aDescriptor);
  void Connect();
  void PumpBoth();
  void OnEndFailed(bool aIsClient);
  void CloseIfFailureShows();
  void Close();
  bool IsDropped() const;

  common::EventLoop& loop_;
  ConnectionPlan plan_;
  std::function<void()> onClosed_;
  Border& there_;
  Border& back_;
  End client_;
  End server_;
  std::optional<Flow> toServer_;
  std::optional<Flow> toClient_;
  bool isConnected_ = false;
  bool isFrozen_ = false;
  bool isClosed_ = false;
  bool hasClientFailed_ = false;
  bool hasServerFailed_ = false;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_proxy_ProxiedConnection_h
