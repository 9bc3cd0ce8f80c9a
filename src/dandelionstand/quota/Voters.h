#ifndef dandelionstand_quota_Voters_h
#define dandelionstand_quota_Voters_h

#include "dandelionstand/common/Ids.h"

#include <cstddef>
#include <set>

namespace dandelionstand::quota {

//! Members of whose votes more than half decide.
struct Voters
{
  std::set<common::InstanceId> instances_;
  //! Instances that are known from their join records only, so that their votes cannot be had yet.
  std::size_t unmet_ = 0;

  std::size_t Count() const { return instances_.size() + unmet_; }
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_Voters_h
