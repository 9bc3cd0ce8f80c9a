#ifndef dandelionstand_peer_TargetWithdrawal_h
#define dandelionstand_peer_TargetWithdrawal_h

#include "dandelionstand/common/TargetIdentity.h"

#include <compare>
#include <cstdint>

namespace dandelionstand::peer {

//! The withdrawal of one incarnation of an instance's target because it is leaving.
struct TargetWithdrawal
{
  //! Counts the withdrawals of the instance, across restarts of its daemon. Start times cannot
  //! order them, because the target's clock may be wrong.
  std::uint64_t number_ = 0;
  common::TargetIdentity target_;

  auto operator<=>(const TargetWithdrawal&) const = default;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_TargetWithdrawal_h
