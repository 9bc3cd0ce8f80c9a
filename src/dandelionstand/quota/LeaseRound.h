#ifndef dandelionstand_quota_LeaseRound_h
#define dandelionstand_quota_LeaseRound_h

#include "dandelionstand/quota/LeaseVote.h"
#include "dandelionstand/quota/Voters.h"

#include <map>
#include <set>

namespace dandelionstand::quota {

//! Counts the votes on one query.
class LeaseRound
{
public:
  LeaseRound(LeaseQuery aQuery, Voters aVoters, common::TimePoint aAskedAt);

  const LeaseQuery& Query() const { return query_; }
  common::TimePoint AskedAt() const { return askedAt_; }
  //! Whether votes still count.
  bool IsOpen(common::TimePoint aNow) const;
  void OnVote(const common::InstanceId& aVoter,
              const common::Address& aAddress,
              const LeaseVote& aVote,
              common::TimePoint aNow);
  bool HasMajority() const { return 2 * granted_.size() > voterCount_; }
  bool IsUnanimous() const { return granted_.size() == voterCount_; }
  bool HasGranted(const common::Address& aAddress) const { return addresses_.contains(aAddress); }
  //! For how long no voter has granted another takeover of the partitions.
  common::Duration QuietFor() const { return quietFor_; }
  //! From when on no voter supports a holder that has not itself granted the query.
  common::TimePoint PromisesEndAt() const;

private:
  LeaseQuery query_;
  Voters voters_;
  common::TimePoint askedAt_;
  std::size_t voterCount_; //!< The largest that any voter has stated.
  std::set<common::InstanceId> granted_;
  std::set<common::Address> addresses_; //!< Of granted_.
  std::map<common::Address, common::TimePoint> promisedUntil_;
  common::Duration quietFor_ = common::Duration::max();
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_LeaseRound_h
