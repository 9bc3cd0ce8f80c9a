#include "dandelionstand/target/TargetConnections.h"

#include "dandelionstand/common/EventLoop.h"

#include <event2/http.h>

namespace dandelionstand::target {

namespace {

//! A target that closes idle connections gives them longer than this.
constexpr common::Duration kFresh = std::chrono::milliseconds(500);
constexpr common::Duration kIdleLimit = std::chrono::seconds(10);

} // namespace

TargetConnections::TargetConnections(common::EventLoop& aLoop)
  : loop_(aLoop)
{
}

TargetConnections::~TargetConnections()
{
  CloseIdle();
}

void TargetConnections::SetTarget(const common::HostAndPort& aTarget)
{
  const bool isSame = aTarget.host_ == target_.host_ && aTarget.port_ == target_.port_;
  if (!isSame) {
    CloseIdle();
    target_ = aTarget;
  }
}

evhttp_connection* TargetConnections::Take(bool aOnlyFresh, common::TimePoint aNow)
{
  ++running_;
  const common::Duration limit = aOnlyFresh ? kFresh : kIdleLimit;
  if (!idle_.empty() && aNow - idle_.back().since_ < limit) {
    evhttp_connection* connection = idle_.back().connection_;
    idle_.pop_back();
    return connection;
  }
  if (!idle_.empty() && running_ + idle_.size() > limit_) {
    evhttp_connection_free(idle_.front().connection_);
    idle_.erase(idle_.begin());
  }
  return evhttp_connection_base_new(loop_.Base(), nullptr, target_.host_.c_str(), target_.port_);
}

void TargetConnections::Return(evhttp_connection* aConnection, common::TimePoint aNow)
{
  char* host = nullptr;
  std::uint16_t port = 0;
  evhttp_connection_get_peer(aConnection, &host, &port);
  const bool isCurrent = host != nullptr && target_.host_ == host && target_.port_ == port;
  if (!isCurrent || running_ + idle_.size() > limit_) {
    Discard(aConnection);
    return;
  }
  --running_;
  idle_.push_back({ aConnection, aNow });
}

void TargetConnections::Discard(evhttp_connection* aConnection)
{
  --running_;
  evhttp_connection_free(aConnection);
}

void TargetConnections::CloseIdle()
{
  for (const Idle& idle : idle_) {
    evhttp_connection_free(idle.connection_);
  }
  idle_.clear();
}

} // namespace dandelionstand::target
