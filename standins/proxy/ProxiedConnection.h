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

//! A connection that the proxy has accepted, and where it is to be forwarded.
struct AcceptedConnection
{
  int descriptor_ = -1;         //!< The accepted socket; ProxiedConnection takes ownership of it.
  sockaddr_in clientAddress_{}; //!< Its IP is also the source IP of the connection to the server.
  sockaddr_in serverAddress_{};
  BorderId borderId_; //!< From the client to the server.
};

//! Forwards a client's connection to a server.
class ProxiedConnection
{
public:
  //! Calls aOnClosed once when the connection is closed. aOnClosed must not destroy this object,
  //! but may schedule its destruction.
  ProxiedConnection(common::EventLoop& aLoop,
                    Borders& aBorders,
                    const AcceptedConnection& aAccepted,
                    std::function<void()> aOnClosed);
  ~ProxiedConnection();
  ProxiedConnection(const ProxiedConnection&) = delete;
  ProxiedConnection& operator=(const ProxiedConnection&) = delete;

  BorderId GetBorderId() const { return accepted_.borderId_; }
  bool IsClosed() const { return isClosed_; }
  //! Applies the changed rules of the border.
  void OnRulesChanged();
  //! Stops forwarding for good, without closing either end. Closes are not forwarded either.
  void Freeze();
  //! Closes both ends with a TCP reset.
  void Reset();

private:
  struct BuffereventDeleter
  {
    void operator()(bufferevent* aBufferevent) const;
  };
  using BuffereventPtr = std::unique_ptr<bufferevent, BuffereventDeleter>;

  static void OnReadable(bufferevent* aBufferevent, void* aSelf);
  static void OnWritten(bufferevent* aBufferevent, void* aSelf);
  static void OnEvent(bufferevent* aBufferevent, short aFlags, void* aSelf);

  BuffereventPtr MakeBufferevent(int aDescriptor);
  void Connect();
  void PumpBoth();
  void OnError(bool aIsClient);
  //! Resets the connection if an end has failed and the direction from there is not dropped.
  void ResetIfErrorVisible();
  void Close();
  bool IsEitherDirectionDropped() const;

  common::EventLoop& loop_;
  AcceptedConnection accepted_;
  std::function<void()> onClosed_;
  Border& toServerBorder_;
  Border& toClientBorder_;
  BuffereventPtr client_;
  BuffereventPtr server_;
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
