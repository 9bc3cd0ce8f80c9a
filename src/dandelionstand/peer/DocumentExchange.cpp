#include "dandelionstand/peer/DocumentExchange.h"

namespace dandelionstand::peer {

namespace {

using namespace std::chrono_literals;

//! A version reaches all daemons within about 100 ms. One that is behind for this long reaches
//! neither the store nor a relay.
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
  isConfirmed_ = isConfirmed_ && aVersion == highestPeerVersion_;
  highestPeerVersion_ = aVersion;
  highestPeer_ = aPeer;
  if (!behindSince_) {
    behindSince_ = aNow;
  }
}

void DocumentExchange::OnConfirmedVersion(const common::Address& aPeer,
                                          common::Version aVersion,
                                          common::TimePoint aNow)
{
  OnPeerVersion(aPeer, aVersion, aNow);
  isConfirmed_ = isConfirmed_ || (behindSince_ && aVersion == highestPeerVersion_);
}

void DocumentExchange::OnLocalVersion(common::Version aVersion)
{
  localVersion_ = aVersion;
  if (localVersion_ >= highestPeerVersion_) {
    behindSince_.reset();
    isConfirmed_ = false;
  }
}

std::optional<common::Address> DocumentExchange::Tick(common::TimePoint aNow)
{
  // Without any version the daemon cannot serve, so it does not wait for the store.
  const bool isUrgent = localVersion_.Get() == 0 || isConfirmed_;
  const common::Duration delay = isUrgent ? common::Duration(0) : kQueryDelay;
  const bool isRepetition = queriedVersion_ == highestPeerVersion_;
  if (!behindSince_ || aNow - *behindSince_ < delay || (isRepetition && aNow < nextQuery_)) {
    return std::nullopt;
  }
  queriedVersion_ = highestPeerVersion_;
  nextQuery_ = aNow + kQueryInterval;
  return highestPeer_;
}

} // namespace dandelionstand::peer
