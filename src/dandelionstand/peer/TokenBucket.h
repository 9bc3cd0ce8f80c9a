#ifndef dandelionstand_peer_TokenBucket_h
#define dandelionstand_peer_TokenBucket_h

#include "dandelionstand/common/Time.h"

#include <algorithm>
#include <chrono>

namespace dandelionstand::peer {

//! Admits a burst and then a steady rate.
class TokenBucket
{
public:
  TokenBucket(double aBurst, double aPerSecond)
    : burst_(aBurst)
    , perSecond_(aPerSecond)
    , tokens_(aBurst)
  {
  }

  bool TryConsume(common::TimePoint aNow)
  {
    const std::chrono::duration<double> elapsed = aNow - last_;
    last_ = aNow;
    tokens_ = std::min(burst_, tokens_ + elapsed.count() * perSecond_);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

private:
  double burst_;
  double perSecond_;
  double tokens_;
  common::TimePoint last_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_TokenBucket_h
