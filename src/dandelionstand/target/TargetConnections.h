#ifndef dandelionstand_target_TargetConnections_h
#define dandelionstand_target_TargetConnections_h

#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/common/Time.h"

#include <cstddef>
#include <vector>

struct evhttp_connection;

namespace dandelionstand::common {
class EventLoop;
} // namespace dandelionstand::common

namespace dandelionstand::target {

//! Keep-alive connections to the target, within its limit on connections.
class TargetConnections
{
public:
  explicit TargetConnections(common::EventLoop& aLoop);
  ~TargetConnections();
  TargetConnections(const TargetConnections&) = delete;
  TargetConnections& operator=(const TargetConnections&) = delete;

  //! Changes the target; idle connections to another address are closed.
  void SetTarget(const common::HostAndPort& aTarget);
  void SetLimit(std::size_t aConnections) { limit_ = aConnections; }

  //! A connection for one request. With aOnlyFresh a connection that the target may be about to
  //! close is not reused.
  evhttp_connection* Take(bool aOnlyFresh, common::TimePoint aNow);
  //! Gives a connection back after a whole exchange.
  void Return(evhttp_connection* aConnection, common::TimePoint aNow);
  //! Closes a connection whose exchange did not end regularly.
  void Discard(evhttp_connection* aConnection);

private:
  struct Idle
  {
    evhttp_connection* connection_;
    common::TimePoint since_;
  };

  void CloseIdle();

  common::EventLoop& loop_;
  common::HostAndPort target_;
  std::size_t limit_ = 100;
  std::size_t running_ = 0;
  std::vector<Idle> idle_; //!< The one used last is at the end.
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetConnections_h
