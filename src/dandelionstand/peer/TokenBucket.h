#ifndef dandelionstand_peer_TokenBucket_h
#define dandelionstand_peer_TokenBucket_h

#include "dandelionstand/common/Time.h"

#include <algorithm>
#include <chrono>

namespace dandelionstand::peer {

//! Rate limiter that admits a burst and then a steady rate.
class TokenBucket
{
public:
  TokenBucket(double aBurst, double aTokensPerSecond)
    : burst_(aBurst)
    , tokensPerSecond_(aTokensPerSecond)
    , tokens_(aBurst)
  {
  }

  //! Consumes a token; false if there is none.
  bool TryConsume(common::TimePoint aNow)
  {
    const std::chrono::duration<double> elapsed = aNow - lastRefillAt_;
    lastRefillAt_ = aNow;
    tokens_ = std::min(burst_, tokens_ + elapsed.count() * tokensPerSecond_);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

private:
  double burst_;
  double tokensPerSecond_;
  double tokens_;
  common::TimePoint lastRefillAt_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_TokenBucket_h
