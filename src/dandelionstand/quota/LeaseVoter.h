#ifndef dandelionstand_quota_LeaseVoter_h
#define dandelionstand_quota_LeaseVoter_h

#include "dandelionstand/quota/LeaseVote.h"

#include <map>

namespace dandelionstand::quota {

//! Votes of one member on the leases of grantors.
//!
//! Designed for partitions of the network in which the store serves only some daemons: a grantor
//! goes on without the store, and another one takes over from it, only with the votes of more than
//! half of the members. Any two such majorities have a member in common. Once that member has
//! granted a takeover it does not support the earlier holder, and it tells the new one for how
//! long it still does.
class LeaseVoter
{
public:
  //! A vote for a holder lasts so long. The holder counts from its query, which is earlier.
  static constexpr common::Duration kPromiseLifetime = std::chrono::milliseconds(1'500);
  //! A query is repeated if it has no majority by then; later votes do not count.
  static constexpr common::Duration kVoteTimeout = std::chrono::milliseconds(500);

  explicit LeaseVoter(common::TimePoint aStartedAt)
    : startedAt_(aStartedAt)
  {
  }

  LeaseVote Vote(const common::Address& aHolder, const LeaseQuery& aQuery, common::TimePoint aNow);

private:
  struct Takeover
  {
    std::uint64_t generation_ = 0;
    common::TimePoint grantedAt_;
    common::TimePoint previousAt_; //!< When the one before was granted.
  };

  bool Support(const common::Address& aHolder, const LeaseQuery& aQuery, common::TimePoint aNow);
  bool GrantTakeover(const LeaseQuery& aQuery, common::TimePoint aNow);
  //! Whether a takeover of one of the partitions was granted in a later generation of the group.
  bool HasLaterTakeover(const LeaseQuery& aQuery) const;
  //! aQuery: a takeover that is granted.
  common::Duration QuietFor(const LeaseQuery& aQuery, common::TimePoint aNow) const;
  std::vector<LeasePromise> PromisesExcept(const common::Address& aHolder,
                                           common::TimePoint aNow) const;

  common::TimePoint startedAt_;
  std::map<common::Address, common::TimePoint> promisedUntil_;
  std::map<std::uint32_t, Takeover> takeovers_; //!< The last one that was granted, by partition.
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_LeaseVoter_h
