#ifndef dandelionstand_operators_Promise_h
#define dandelionstand_operators_Promise_h

#include "dandelionstand/config/Resources.h"

#include <cstdint>

namespace dandelionstand::operators {

//! How often a request may run and be tried. The named makers rule out combinations that
//! contradict each other.
class Promise
{
public:
  //! Runs any number of times with one effect; tried up to aAttempts times (1 to 10).
  static Promise Idempotent(std::uint32_t aAttempts);
  //! Runs at most once for each idempotency key; tried again only while it has surely not run.
  static Promise Keyed(std::uint32_t aAttempts);
  //! Exactly one attempt.
  static Promise Once();

  config::Idempotency GetIdempotency() const { return idempotency_; }
  std::uint32_t Attempts() const { return attempts_; }

private:
  Promise(config::Idempotency aIdempotency, std::uint32_t aAttempts)
    : idempotency_(aIdempotency)
    , attempts_(aAttempts)
  {
  }

  config::Idempotency idempotency_;
  std::uint32_t attempts_;
};

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_Promise_h
