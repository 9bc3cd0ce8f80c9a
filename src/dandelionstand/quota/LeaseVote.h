#ifndef dandelionstand_quota_LeaseVote_h
#define dandelionstand_quota_LeaseVote_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace dandelionstand::quota {

//! A grantor's request for the votes of the members.
struct LeaseQuery
{
  std::uint64_t sequence_ = 0;
  std::uint64_t generation_ = 0; //!< Of the sender's last join.
  //! True: to take the partitions over from their earlier holder. False: to go on with them while
  //! the store does not answer.
  bool isTakeover_ = false;
  std::vector<std::uint32_t> partitions_;
};

//! A member supports a holder that goes on without the store.
struct LeasePromise
{
  common::Address holder_; //!< Empty if the member has just started and knows of no earlier one.
  common::Duration remaining_{ 0 };
};

struct LeaseVote
{
  std::uint64_t sequence_ = 0; //!< Of the query.
  bool isGranted_ = false;
  //! Of a vote on a takeover: to other holders.
  std::vector<LeasePromise> promises_;
  //! Of a vote on a takeover: for how long the sender has granted no other one of its partitions.
  common::Duration quietFor_{ 0 };
  std::size_t voterCount_ = 0; //!< Members that may vote, as far as the sender knows.
};

} // namespace dandelionstand::quota

#endif // dandelionstand_quota_LeaseVote_h
