#include "dandelionstand/peer/DocumentExchange.h"

namespace dandelionstand::peer {

namespace {

using namespace std::chrono_literals;

//! The store delivers a version to all daemons within about 50 ms. A daemon that is behind for this
//! long cannot reach the store.
constexpr common::Duration kQueryDelay = 250ms;
//! A lost query delays the version by this much of the 2 s within which it must reach every daemon.
constexpr common::Duration kQueryInterval = 400ms;

} // namespace

void DocumentExchange::OnPeerVersion(const common::Address& aPeer,
                                     common::Version aVersion,
                                     common::TimePoint aNow)
{
  if (aVersion < highestPeerVersion_ || aVersion <= localVersion_) {
    return;
  }
  highestPeerVersion_ = aVersion;
  highestPeer_ = aPeer;
  if (!behindSince_) {
    behindSince_ = aNow;
  }
}

void DocumentExchange::OnLocalVersion(common::Version aVersion)
{
  localVersion_ = aVersion;
  if (localVersion_ >= highestPeerVersion_) {
    behindSince_.reset();
  }
}

std::optional<common::Address> DocumentExchange::Tick(common::TimePoint aNow)
{
  // Without any version the daemon cannot serve, so it does not wait for the store.
  const common::Duration delay = localVersion_.Get() == 0 ? common::Duration(0) : kQueryDelay;
  if (!behindSince_ || aNow - *behindSince_ < delay || aNow < nextQuery_) {
    return std::nullopt;
  }
  nextQuery_ = aNow + kQueryInterval;
  return highestPeer_;
}

} // namespace dandelionstand::peer
