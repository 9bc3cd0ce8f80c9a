#ifndef dandelionstand_caller_CallerConnection_h
#define dandelionstand_caller_CallerConnection_h

#include "dandelionstand/caller/CallerRequest.h"

#include <cstdint>
#include <functional>

namespace dandelionstand::dialect {
class CallerDialect;
} // namespace dandelionstand::dialect

namespace dandelionstand::http {
class ServerExchange;
} // namespace dandelionstand::http

namespace dandelionstand::caller {

//! Reads one request of a caller and writes its answer, in the caller's dialect.
class CallerConnection
{
public:
  //! Called once, when the answer is sent completely (aIsSent) or the connection is closed.
  using EndHandler = std::function<void(bool aIsSent)>;
  using DisconnectHandler = std::function<void()>;
  using ConsumedHandler = std::function<void(std::uint32_t aBytes)>;

  CallerConnection(http::ServerExchange& aExchange,
                   const dialect::CallerDialect& aDialect,
                   EndHandler aOnEnd);
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  //! Reads the request in the dialect. To be called once: moves it out of the exchange.
  CallerRequest ReadRequest();

  //! aOnDisconnect is called if the caller disconnects before its answer is finished,
  //! aOnConsumed with the number of body bytes sent to the caller.
  void Watch(DisconnectHandler aOnDisconnect, ConsumedHandler aOnConsumed);
  //! Removes both handlers; the answer is still written.
  void Unwatch();

  void SendHead(std::uint32_t aStatus, const Headers& aHeaders);
  void SendBody(const std::string& aData);
  void Finish();
  void Refuse(const Refusal& aRefusal);
  //! Closes the connection, so that the caller notices that the answer is incomplete.
  void Abort();
  //! Discards the answer so far. False if the caller has received a part of it.
  bool Discard();
  //! Whether the caller has received all earlier answers on its connection, so that it can receive
  //! this one.
  bool IsNext() const;

private:
  http::ServerExchange* exchange_; //!< Null after the exchange has ended.
  const dialect::CallerDialect& dialect_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_CallerConnection_h
