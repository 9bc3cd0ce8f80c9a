#include "dandelionstand/target/TargetConnections.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::target {

namespace {

//! The target is beside the daemon; a connection that takes longer is not accepted.
constexpr common::Duration kConnectTime = std::chrono::milliseconds(700);
//! A request and the target's own closing of an idle connection may cross.
constexpr common::Duration kCloseMargin = std::chrono::milliseconds(700);
//! For a request that must not run twice, which could not be sent again after such a crossing.
constexpr common::Duration kFreshMargin = std::chrono::milliseconds(1500);
//! Without a word of the target's own.
constexpr common::Duration kIdleLimit = std::chrono::seconds(8);

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

TargetConnections::Connection TargetConnections::Take(bool aOnlyFresh, common::TimePoint aNow)
{
  ++running_;
  DropUnusable(aNow);
  const common::Duration margin = aOnlyFresh ? kFreshMargin : kCloseMargin;
  if (!idle_.empty() && aNow + margin < idle_.back().until_) {
    Connection connection = std::move(idle_.back().connection_);
    idle_.pop_back();
    return connection;
  }
  if (!idle_.empty() && running_ + idle_.size() > limit_) {
    idle_.erase(idle_.begin());
  }
  ++opened_;
  return std::make_unique<http::ClientConnection>(loop_, target_, kConnectTime);
}

void TargetConnections::DropUnusable(common::TimePoint aNow)
{
  std::erase_if(idle_, [aNow](const Idle& aIdle) {
    return !aIdle.connection_->IsUsable() || aNow + kCloseMargin >= aIdle.until_;
  });
}

void TargetConnections::Return(Connection aConnection,
                               common::Duration aIdleLimit,
                               common::TimePoint aNow)
{
  const common::HostAndPort& server = aConnection->Server();
  const bool isCurrent = server.host_ == target_.host_ && server.port_ == target_.port_;
  if (!isCurrent || !aConnection->IsUsable() || running_ + idle_.size() > limit_) {
    Discard(std::move(aConnection));
    return;
  }
  --running_;
  const common::Duration limit = aIdleLimit.count() > 0 ? aIdleLimit : kIdleLimit;
  idle_.push_back({ std::move(aConnection), aNow, aNow + limit });
}

void TargetConnections::Discard(Connection aConnection)
{
  --running_;
  aConnection.reset();
}

} // namespace dandelionstand::target
