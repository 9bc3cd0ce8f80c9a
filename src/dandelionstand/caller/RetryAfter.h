#ifndef dandelionstand_caller_RetryAfter_h
#define dandelionstand_caller_RetryAfter_h

#include "dandelionstand/common/Time.h"

#include <random>
#include <string>

namespace dandelionstand::caller {

//! What is known when a request is refused as not run.
struct RefusalFacts
{
  std::string reason_;
  common::Duration room_{ 0 }; //!< Estimated time until the endpoint takes work again; 0: unknown.
};

//! When a refused caller should come back.
//!
//! Answers the load pattern of a burst: callers that were refused together and return together
//! are refused again. They are spread over the time in which room appears, but return while they
//! still have time to be served.
common::Duration RetryAfter(const RefusalFacts& aFacts, std::mt19937_64& aRandom);

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_RetryAfter_h
