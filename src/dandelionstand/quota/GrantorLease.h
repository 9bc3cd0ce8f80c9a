#ifndef dandelionstand_quota_GrantorLease_h
#define dandelionstand_quota_GrantorLease_h

#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace dandelionstand::quota {

//! Decides for which partitions of organisations this daemon may issue tokens.
//!
//! The store's group calls assign the partitions. The lease on them ends at the sending time of the
//! last successful join plus its time to live, by a clock that also counts suspension. While joins
//! fail, votes of the other members extend it; see LeaseNegotiation. A partition that is assigned
//! to this daemon is held once its earlier holder can no longer go on.
class GrantorLease
{
public:
  //! Between joins. A grantor learns within this time that another one has its partition.
  static constexpr common::Duration kJoinInterval = std::chrono::milliseconds(400);
  //! Three joins may fail before the lease ends.
  static constexpr common::Duration kTimeToLive = std::chrono::milliseconds(1'500);
  //! Without the store and without the votes of all members the lease ends so long after the last
  //! join, or the last votes of all. A new holder that cannot get the votes waits so long.
  static constexpr common::Duration kMaxExtension = std::chrono::seconds(30);

  //! A join was answered at aNow. aPartitions: those that are assigned to this daemon.
  void OnJoined(std::uint64_t aGeneration,
                const std::vector<std::uint32_t>& aPartitions,
                common::TimePoint aSentAt,
                common::TimePoint aNow);
  void OnJoinFailed() { isFailing_ = true; }
  //! More than half of the members support the lease by votes on a query of aAskedAt.
  void Extend(common::TimePoint aAskedAt, bool aIsUnanimous, common::TimePoint aNow);
  //! The partition is assigned to another daemon.
  void Release(std::uint32_t aPartition) { holdings_.erase(aPartition); }
  //! Another daemon takes the partitions over by its assignment of aGeneration. False if this
  //! daemon has one of them by an assignment that is at least as new; then nothing changes.
  bool Yield(std::uint64_t aGeneration, const std::vector<std::uint32_t>& aPartitions);
  //! The earlier holder of the partition can no longer go on. aQuietFor: for how long no other
  //! daemon has become its grantor.
  void Confirm(std::uint32_t aPartition, common::Duration aQuietFor, common::TimePoint aNow);
  //! Gives up what a lease that has ended held; returns the number of partitions. To be called
  //! several times a second.
  std::size_t Tick(common::TimePoint aNow);

  //! When this daemon became the grantor of the partition; nullopt if it is not.
  std::optional<common::TimePoint> HeldSince(std::uint32_t aPartition,
                                             common::TimePoint aNow) const;
  //! For how long no other daemon had become the grantor of a held partition before this one.
  common::Duration QuietBefore(std::uint32_t aPartition) const;
  //! When each partition was assigned that is not held yet.
  std::map<std::uint32_t, common::TimePoint> Unconfirmed() const;
  //! Partitions that this daemon holds.
  std::vector<std::uint32_t> Held(common::TimePoint aNow) const;
  //! Whether the lease ends without votes.
  bool NeedsVotes(common::TimePoint aNow) const;
  std::uint64_t Generation() const { return generation_; }

private:
  struct Holding
  {
    common::TimePoint assignedAt_;
    std::optional<common::TimePoint> heldSince_;
    common::Duration quietBefore_{ 0 };
  };

  bool IsValid(common::TimePoint aNow) const { return aNow < validUntil_; }

  std::uint64_t generation_ = 0;
  std::map<std::uint32_t, Holding> holdings_; //!< By partition.
  common::TimePoint validUntil_;
  common::TimePoint extendableUntil_;
  bool isFailing_ = false; //!< The last join failed.
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_GrantorLease_h
