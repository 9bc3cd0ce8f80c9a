#include "dandelionstand/target/TargetConnections.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::target {

namespace {

//! The target runs next to the daemon; if connecting takes longer, the target is not accepting
//! connections.
constexpr common::Duration kConnectTimeout = std::chrono::milliseconds(700);
//! Idle connections are not reused within this time before the target closes them, since a request
//! could cross with the close.
constexpr common::Duration kCloseMargin = std::chrono::milliseconds(700);
//! Larger margin for non-idempotent requests, which cannot be sent again after crossing with a
//! close.
constexpr common::Duration kNonIdempotentCloseMargin = std::chrono::milliseconds(1500);
//! Idle timeout of a target that does not state its own.
constexpr common::Duration kDefaultIdleTimeout = std::chrono::seconds(8);

} // namespace

TargetConnections::TargetConnections(common::EventLoop& aLoop)
  : loop_(aLoop)
{
}

void TargetConnections::SetTarget(const common::HostAndPort& aTarget)
{
  const bool isSame = aTarget.host_ == target_.host_ && aTarget.port_ == target_.port_;
  if (!isSame) {
    CloseIdle();
    target_ = aTarget;
  }
}

TargetConnections::Connection TargetConnections::Acquire(bool aIsNonIdempotent,
                                                         common::TimePoint aNow)
{
  ++inUseCount_;
  CloseUnusable(aNow);
  const common::Duration margin = aIsNonIdempotent ? kNonIdempotentCloseMargin : kCloseMargin;
  if (!idle_.empty() && aNow + margin < idle_.back().reusableUntil_) {
    Connection connection = std::move(idle_.back().connection_);
    idle_.pop_back();
    return connection;
  }
  if (!idle_.empty() && inUseCount_ + idle_.size() > maxConnections_) {
    idle_.erase(idle_.begin());
  }
  ++openedCount_;
  return std::make_unique<http::ClientConnection>(loop_, target_, kConnectTimeout);
}

void TargetConnections::CloseUnusable(common::TimePoint aNow)
{
  std::erase_if(idle_, [aNow](const IdleConnection& aIdle) {
    return !aIdle.connection_->IsUsable() || aNow + kCloseMargin >= aIdle.reusableUntil_;
  });
}

void TargetConnections::Release(Connection aConnection,
                                common::Duration aIdleTimeout,
                                common::TimePoint aNow)
{
  const common::HostAndPort& server = aConnection->Server();
  const bool isCurrent = server.host_ == target_.host_ && server.port_ == target_.port_;
  if (!isCurrent || !aConnection->IsUsable() || inUseCount_ + idle_.size() > maxConnections_) {
    Discard(std::move(aConnection));
    return;
  }
  --inUseCount_;
  const common::Duration idleTimeout =
    aIdleTimeout.count() > 0 ? aIdleTimeout : kDefaultIdleTimeout;
  idle_.push_back({ std::move(aConnection), aNow, aNow + idleTimeout });
}

void TargetConnections::Discard(Connection aConnection)
{
  --inUseCount_;
  aConnection.reset();
}

} // namespace dandelionstand::target
