#ifndef dandelionstand_freshness_FreshnessTracker_h
#define dandelionstand_freshness_FreshnessTracker_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/peer/Member.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace dandelionstand::freshness {

//! Times of a FreshnessTracker.
struct FreshnessSettings
{
  common::Duration maxAge_;        //!< Of a proof with which requests may start.
  common::Duration readInterval_;  //!< Between the reads of a ranked reader.
  common::Duration queryInterval_; //!< Between the queries of any other daemon.
  common::Duration replyTimeout_;  //!< Of a query.
  //! Age of the proof from which a daemon reads the store itself, by its level below the readers:
  //! the first member of a domain, those that query it, and all others.
  std::array<common::Duration, 3> fallbackAges_;
  common::Duration minFallbackInterval_; //!< Between such reads; doubles with each failure.
  common::Duration maxFallbackInterval_;
};

//! The settings with which a revoked key is not accepted aRevocationLimit after its revocation.
FreshnessSettings MakeFreshnessSettings(common::Duration aRevocationLimit);

//! A peer is to be queried for its proof.
struct QueryPeer
{
  common::Address address_;
  std::uint64_t sequence_ = 0;
};

//! What to do now.
struct FreshnessActions
{
  bool readsStore_ = false; //!< Without a wait.
  std::optional<QueryPeer> query_;
};

//! Decides how a daemon renews its proof that the active version is the newest one in the store,
//! and how old that proof is.
//!
//! Designed for hundreds of daemons that must stop to accept a revoked key in bounded time, also
//! when they are cut off or were suspended. Two ranked readers read the store; the others query a
//! peer each, in a tree, so the number of reads does not grow with the daemons. All times are those
//! of a clock that also counts suspension (common::BootNow).
//!
//! A proof counts from the beginning of its read. One from a peer counts from the sending of the
//! query, less the age that the peer states: whatever the reply waited makes it older.
class FreshnessTracker
{
public:
  FreshnessTracker(peer::Member aSelf, FreshnessSettings aSettings, std::uint64_t aSeed);

  void SetMembers(const peer::Members& aMembers);
  void OnVersionActive(common::Version aVersion);
  //! The store answered a read that began at aStartedAt, and the active version is its newest one.
  void OnStoreRead(common::TimePoint aStartedAt);
  //! Returns false if the reply proves nothing yet: a version that is not active here has to be
  //! received first.
  bool OnReply(std::uint64_t aSequence,
               common::Version aVersion,
               common::Duration aAge,
               common::TimePoint aNow);
  //! To be called several times a second.
  FreshnessActions Tick(common::TimePoint aNow);

  std::optional<common::Duration> Age(common::TimePoint aNow) const;
  bool IsFresh(common::TimePoint aNow) const;
  common::Version ActiveVersion() const { return version_; }
  //! Whether this daemon reads the store because of its rank.
  bool IsReader() const { return isReader_; }

private:
  //! The newest proof of a version, from the beginning of its read.
  struct Proof
  {
    common::Version version_;
    common::TimePoint startedAt_;
  };

  void Accept(const Proof& aProof);
  //! Whether the proof is so old that this daemon renews it by itself.
  bool IsOverdue(common::TimePoint aNow) const;
  void TickReads(common::TimePoint aNow, FreshnessActions& aActions);
  void TickQueries(common::TimePoint aNow, FreshnessActions& aActions);
  //! The peer for the next query; nullopt if there is none.
  std::optional<common::Address> NextPeer();

  peer::Member self_;
  FreshnessSettings settings_;
  std::mt19937_64 random_;
  common::Version version_;
  //! Beginning of the newest read that proved version_, or one before it, to be the newest.
  std::optional<common::TimePoint> provedAt_;
  std::optional<Proof> pending_; //!< Of a version above version_.
  bool isReader_ = false;
  std::size_t level_ = 0;                       //!< Index in fallbackAges_.
  std::vector<common::Address> preferredPeers_; //!< Queried first, in this order.
  std::vector<common::Address> otherPeers_;
  std::size_t failedQueries_ = 0; //!< Since the last useful reply.
  std::uint64_t sequence_ = 0;
  std::optional<common::TimePoint> queriedAt_; //!< The query with sequence_ has no reply yet.
  common::TimePoint nextQueryAt_;
  common::TimePoint nextReadAt_;
  common::Duration fallbackInterval_;
};

} // namespace dandelionstand::freshness

#endif // dandelionstand_freshness_FreshnessTracker_h
