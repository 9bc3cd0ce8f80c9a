#ifndef dandelionstand_caller_RetryAfter_h
#define dandelionstand_caller_RetryAfter_h

#include "dandelionstand/common/Time.h"

#include <random>
#include <string>

namespace dandelionstand::caller {

//! Circumstances in which a request is refused as not run.
struct RefusalContext
{
  std::string reason_;
  //! Estimated time until the endpoint accepts work again; 0 if unknown.
  common::Duration timeToCapacity_{ 0 };
};

//! Time after which a refused caller should retry, chosen at random.
//!
//! Callers of a burst that are refused together and return together are refused again. Their
//! retries are therefore spread over the time in which capacity becomes available, but early enough
//! to be served before the callers' deadlines.
common::Duration RetryAfter(const RefusalContext& aContext, std::mt19937_64& aRandom);

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_RetryAfter_h
