#ifndef dandelionstand_target_TargetConnections_h
#define dandelionstand_target_TargetConnections_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/http/ClientConnection.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace dandelionstand::target {

//! Pool of keep-alive connections to the target. Idle connections are closed to stay within the
//! target's maximum number of connections.
class TargetConnections
{
public:
  using Connection = std::unique_ptr<http::ClientConnection>;

  explicit TargetConnections(common::EventLoop& aLoop);

  //! Sets the target's address. Idle connections to another address are closed.
  void SetTarget(const common::HostAndPort& aTarget);
  void SetMaxConnections(std::size_t aConnections) { maxConnections_ = aConnections; }
  //! Closes all idle connections, for example after the target was restarted at the same address.
  void CloseIdle() { idle_.clear(); }

  //! Returns an idle or a new connection for one request. For a non-idempotent request, an idle
  //! connection that the target may be about to close is not reused.
  Connection Acquire(bool aIsNonIdempotent, common::TimePoint aNow);
  //! Puts a connection back into the pool after a complete exchange. aIdleTimeout is the time after
  //! which the target closes it if idle, or 0 if the target does not state it.
  void Release(Connection aConnection, common::Duration aIdleTimeout, common::TimePoint aNow);
  //! Closes a connection whose exchange did not complete.
  void Discard(Connection aConnection);

  std::uint64_t OpenedCount() const { return openedCount_; }

private:
  struct IdleConnection
  {
    Connection connection_;
    common::TimePoint idleSince_;
    common::TimePoint reusableUntil_; //!< The target may close it afterwards.
  };

  void CloseUnusable(common::TimePoint aNow);

  common::EventLoop& loop_;
  common::HostAndPort target_;
  std::size_t maxConnections_ = 100;
  std::size_t inUseCount_ = 0;
  std::uint64_t openedCount_ = 0;
  std::vector<IdleConnection> idle_; //!< The most recently used one is last.
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetConnections_h
