#ifndef dandelionstand_organisations_Organisation_h
#define dandelionstand_organisations_Organisation_h

#include "dandelionstand/common/Ids.h"

#include <cstdint>
#include <optional>

namespace dandelionstand::organisations {

//! A customer of the operators whose callers identify themselves by API keys.
struct Organisation
{
  common::OrganisationName name_;
  //! Has priority over that of the route; 0 is the highest.
  std::optional<std::uint32_t> priority_;
  //! Requests per second over all daemons; 0: unlimited.
  double ratePerSecond_ = 0;
  //! Requests beyond the rate that may follow a time of less use.
  double burst_ = 0;

  bool HasQuota() const { return ratePerSecond_ > 0; }
  bool operator==(const Organisation&) const = default;
};

} // namespace dandelionstand::organisations

#endif // dandelionstand_organisations_Organisation_h
