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

//! Keep-alive connections to the target, within its limit on connections.
class TargetConnections
{
public:
  using Connection = std::unique_ptr<http::ClientConnection>;

  explicit TargetConnections(common::EventLoop& aLoop);

  //! Changes the target; idle connections to another address are closed.
  void SetTarget(const common::HostAndPort& aTarget);
  void SetMaxConnections(std::size_t aConnections) { maxConnections_ = aConnections; }
  //! Closes every idle connection, as after a new start of the target at its old address.
  void CloseIdle() { idle_.clear(); }

  //! A connection for one request. With aIsNonIdempotent a connection that the target may be about
  //! to close is not reused.
  Connection Acquire(bool aIsNonIdempotent, common::TimePoint aNow);
  //! Gives a connection back after a whole exchange; the target closes it when it was idle for
  //! aIdleTimeout, if it says so.
  void Release(Connection aConnection, common::Duration aIdleTimeout, common::TimePoint aNow);
  //! Closes a connection whose exchange did not end regularly.
  void Discard(Connection aConnection);

  std::uint64_t OpenedCount() const { return openedCount_; }

private:
  struct IdleConnection
  {
    Connection connection_;
    common::TimePoint idleSince_;
    common::TimePoint reusableUntil_; //!< The target may close it from then on.
  };

  void CloseUnusable(common::TimePoint aNow);

  common::EventLoop& loop_;
  common::HostAndPort target_;
  std::size_t maxConnections_ = 100;
  std::size_t inUseCount_ = 0;
  std::uint64_t openedCount_ = 0;
  std::vector<IdleConnection> idle_; //!< The one used last is at the end.
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetConnections_h
