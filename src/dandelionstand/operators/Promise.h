#ifndef dandelionstand_operators_Promise_h
#define dandelionstand_operators_Promise_h

#include "dandelionstand/config/Resources.h"

#include <cstdint>

namespace dandelionstand::operators {

//! How often a request may run, and the maximum number of attempts. The factory functions exclude
//! contradictory combinations.
class Promise
{
public:
  //! The request may run repeatedly with the same effect; at most aAttempts attempts (1 to 10).
  static Promise Idempotent(std::uint32_t aAttempts);
  //! The request runs at most once per idempotency key. It is retried only if it certainly has not
  //! run; at most aAttempts attempts.
  static Promise Keyed(std::uint32_t aAttempts);
  //! The request is never retried.
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
