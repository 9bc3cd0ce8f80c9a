#ifndef dandelionstand_caller_TrafficSplit_h
#define dandelionstand_caller_TrafficSplit_h

#include "dandelionstand/config/ConfigState.h"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace dandelionstand::caller {

//! Divides the requests of routes among several services by weight.
//!
//! Smooth weighted round robin: each part's share is exact over any short run of requests, where a
//! random choice would stray. Every daemon begins at a random point, so that a fleet of them does
//! not send its first requests to the same part.
class TrafficSplit
{
public:
  explicit TrafficSplit(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  //! The service for the next request of the route.
  common::ServiceName Choose(const config::RouteName& aName, const config::Route& aRoute);

private:
  struct Rotation
  {
    std::vector<config::SplitPart> parts_;
    std::vector<std::int64_t> credit_;
  };

  Rotation Begin(const std::vector<config::SplitPart>& aParts);

  std::mt19937_64 random_;
  std::map<config::RouteName, Rotation> rotations_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_TrafficSplit_h
