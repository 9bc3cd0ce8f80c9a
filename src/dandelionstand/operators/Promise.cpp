#include "dandelionstand/operators/Promise.h"

namespace dandelionstand::operators {

Promise Promise::Idempotent(std::uint32_t aAttempts)
{
  return { config::Idempotency::kIdempotent, aAttempts };
}

Promise Promise::Keyed(std::uint32_t aAttempts)
{
  return { config::Idempotency::kKeyed, aAttempts };
}

Promise Promise::Once()
{
  return { config::Idempotency::kOnce, 1 };
}

} // namespace dandelionstand::operators
