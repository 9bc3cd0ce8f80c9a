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
  void SetLimit(std::size_t aConnections) { limit_ = aConnections; }
  //! Closes every idle connection, as after a new start of the target at its old address.
  void CloseIdle() { idle_.clear(); }

  //! A connection for one request. With aOnlyFresh a connection that the target may be about to
  //! close is not reused.
  Connection Take(bool aOnlyFresh, common::TimePoint aNow);
  //! Gives a connection back after a whole exchange; the target closes it when it was idle for
  //! aIdleLimit, if it says so.
  void Return(Connection aConnection, common::Duration aIdleLimit, common::TimePoint aNow);
  //! Closes a connection whose exchange did not end regularly.
  void Discard(Connection aConnection);

  std::uint64_t Opened() const { return opened_; }

private:
  struct Idle
  {
    Connection connection_;
    common::TimePoint since_;
    common::TimePoint until_; //!< The target may close it from then on.
  };

  void DropUnusable(common::TimePoint aNow);

  common::EventLoop& loop_;
  common::HostAndPort target_;
  std::size_t limit_ = 100;
  std::size_t running_ = 0;
  std::uint64_t opened_ = 0;
  std::vector<Idle> idle_; //!< The one used last is at the end.
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_TargetConnections_h
