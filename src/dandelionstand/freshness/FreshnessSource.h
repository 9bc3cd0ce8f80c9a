#ifndef dandelionstand_freshness_FreshnessSource_h
#define dandelionstand_freshness_FreshnessSource_h

#include "dandelionstand/common/Time.h"

#include <optional>

namespace dandelionstand::freshness {

//! States how old the permissions that this daemon knows may be.
class FreshnessSource
{
public:
  virtual ~FreshnessSource();

  //! Whether no key was revoked longer ago than allowed without this daemon knowing of it.
  virtual bool IsFresh() const = 0;
  //! Maximum time since the active version was the newest one; nullopt if it was never proved to
  //! be.
  virtual std::optional<common::Duration> Age() const = 0;
};

} // namespace dandelionstand::freshness

#endif // dandelionstand_freshness_FreshnessSource_h
