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

//! One request of a caller and its answer, in the caller's dialect.
class CallerConnection
{
public:
  //! Called once: the answer was written whole, or the connection is gone.
  using Ended = std::function<void()>;
  using Gone = std::function<void()>;
  using Taken = std::function<void(std::uint32_t aBytes)>;

  CallerConnection(http::ServerExchange& aExchange,
                   const dialect::CallerDialect& aDialect,
                   Ended aEnded);
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  //! Moves the request's content out.
  CallerRequest TakeRequest();

  //! aGone is called if the caller goes away before its answer was written.
  void Watch(Gone aGone, Taken aTaken);
  //! Nobody listens to the events any more; the answer is still written.
  void Unwatch();

  void SendHead(std::uint32_t aStatus, const Headers& aHeaders);
  void SendBody(const std::string& aData);
  void Finish();
  void Refuse(const Refusal& aRefusal);
  //! Breaks the connection so that the caller sees that the answer is not whole.
  void Abort();

private:
  http::ServerExchange* exchange_; //!< Null once it is over.
  const dialect::CallerDialect& dialect_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_CallerConnection_h
