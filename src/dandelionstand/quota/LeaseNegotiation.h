#ifndef dandelionstand_quota_LeaseNegotiation_h
#define dandelionstand_quota_LeaseNegotiation_h

#include "dandelionstand/quota/GrantorLease.h"
#include "dandelionstand/quota/LeaseRound.h"

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace dandelionstand::quota {

//! What votes have led to since the start.
struct LeaseOutcomes
{
  std::size_t extensions_ = 0; //!< Queries by which the lease went on.
  //! Partitions that were taken over with votes, and without them after the longest extension.
  std::size_t takenOverByVotes_ = 0;
  std::size_t takenOverByTime_ = 0;
};

//! Gets the votes that a lease needs: to go on while the store does not answer, and to take
//! partitions over.
//!
//! Takes a partition over once more than half of the members have granted it, all other holders in
//! the group have released it or their time to live has passed, and the members' promises to
//! holders that were not reached have ended. Without the votes it waits until no lease can be
//! extended any more.
class LeaseNegotiation
{
public:
  //! aSequence: of the first query; replies to earlier runs of this daemon must not match.
  LeaseNegotiation(GrantorLease& aLease, std::uint64_t aSequence);

  void SetVoters(Voters aVoters) { voters_ = std::move(aVoters); }
  //! The other daemons that held partitions in the group at aGeneration.
  void SetOtherOwners(std::uint64_t aGeneration, std::set<common::Address> aOwners);
  //! Confirms what can be, and returns the queries to send to all members now. To be called
  //! several times a second.
  std::vector<LeaseQuery> Tick(common::TimePoint aNow);
  //! A member has voted; aAddress is its address.
  void OnVote(const common::InstanceId& aVoter,
              const common::Address& aAddress,
              const LeaseVote& aVote,
              common::TimePoint aNow);

  const LeaseOutcomes& Outcomes() const { return outcomes_; }

private:
  const LeaseQuery& Begin(std::optional<LeaseRound>& aRound,
                          LeaseQuery aQuery,
                          common::TimePoint aNow);
  void ConfirmReleased(common::TimePoint aNow);
  //! Whether a partition has no votes of more than half of the members yet.
  bool HasUncovered() const;
  bool IsGranted(std::uint32_t aPartition, common::TimePoint aAssignedAt) const;
  //! When the earlier holder of a granted partition can no longer go on.
  common::TimePoint ReleasedAt(common::TimePoint aAssignedAt) const;

  GrantorLease& lease_;
  std::uint64_t sequence_;
  Voters voters_;
  std::uint64_t ownersGeneration_ = 0;
  std::set<common::Address> otherOwners_;
  std::optional<LeaseRound> extension_;
  std::optional<LeaseRound> takeover_;
  bool isExtensionCounted_ = false;
  LeaseOutcomes outcomes_;
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_LeaseNegotiation_h
