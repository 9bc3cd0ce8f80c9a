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
//! Uses smooth weighted round robin, which keeps to the weights even over few requests; a random
//! choice would deviate. Each daemon starts at a random phase, so that the daemons of a fleet do
//! not all send their first requests to the same part.
class TrafficSplit
{
public:
  explicit TrafficSplit(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  //! Returns the service for the next request of the route.
  common::ServiceName Choose(const config::RouteName& aName, const config::Route& aRoute);

private:
  struct Rotation
  {
    std::vector<config::SplitPart> parts_;
    std::vector<std::int64_t> currentWeights_;
  };

  Rotation StartRotation(const std::vector<config::SplitPart>& aParts);

  std::mt19937_64 random_;
  std::map<config::RouteName, Rotation> rotations_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_TrafficSplit_h
