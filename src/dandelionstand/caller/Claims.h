#ifndef dandelionstand_caller_Claims_h
#define dandelionstand_caller_Claims_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/platform/Log.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelionstand::caller::wire {
class ClaimBatch;
} // namespace dandelionstand::caller::wire

namespace dandelionstand::caller {

//! 128-bit hash of a service name and an idempotency key.
struct KeyHash
{
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;

  auto operator<=>(const KeyHash&) const = default;
};

KeyHash HashKey(const common::ServiceName& aService, const std::string& aKey);

//! Sequence number of a claim, unique within the incarnation that makes it.
using ClaimNumber = common::StrongId<struct ClaimNumberTag, std::uint64_t>;

//! The daemon incarnation and claim that hold a key according to the log.
struct ClaimHolder
{
  common::InstanceId instance_;
  common::Incarnation incarnation_;
  common::Address address_;
  ClaimNumber number_;

  bool operator==(const ClaimHolder&) const = default;
};

//! Requests an append of the record to the shard's stream.
struct AppendClaims
{
  std::uint64_t generation_ = 0; //!< Identifies the append in OnAppended().
  std::string record_;
};

//! Requests a read of the shard's stream.
struct ReadClaims
{
  std::uint64_t generation_ = 0; //!< Identifies the read in OnRead().
  common::Offset fromOffset_;
  common::Duration wait_{ 0 }; //!< Long-poll time; 0: the log answers at once.
};

//! This daemon holds the key: the request may run once, unless the claim is released.
struct ClaimWon
{
  ClaimNumber number_;
};

//! An earlier claim holds the key.
struct ClaimLost
{
  ClaimNumber number_;
  ClaimHolder holder_;
};

//! The claim was given up undecided; its request must not run.
struct ClaimRefused
{
  ClaimNumber number_;
  std::string reason_;
};

using ClaimAction = std::variant<AppendClaims, ReadClaims, ClaimWon, ClaimLost, ClaimRefused>;
using ClaimActions = std::vector<ClaimAction>;

struct ClaimSettings
{
  ClaimHolder self_; //!< This daemon; number_ is unused.
  //! Deduplication window: a claim holds its key for this long. Must be well below the log's
  //! retention period, so that the records of a whole window can always be read.
  std::chrono::milliseconds window_ = std::chrono::minutes(10);
  //! A claim that is undecided after this time is refused. Also the time-out of log requests.
  common::Duration timeout_ = std::chrono::seconds(1);
  //! Bounds of the interval between appends, which doubles while the log is overloaded.
  common::Duration minAppendInterval_ = std::chrono::milliseconds(50);
  common::Duration maxAppendInterval_ = std::chrono::seconds(1);
  //! The stream is read for this long after the last claim or release.
  common::Duration idleFollowPeriod_ = std::chrono::seconds(30);
};

//! Decides which daemon may run a keyed request, for one shard of the keys.
//!
//! The first claim of a key in the shard's stream of the log wins. A claim is won only once the
//! stream has been read up to its record, and only if all records of the deduplication window are
//! known.
class Claims
{
public:
  explicit Claims(ClaimSettings aSettings);

  //! Starts a claim of a key. aNumber must be greater than all earlier numbers.
  ClaimActions Claim(ClaimNumber aNumber,
                     const KeyHash& aKey,
                     common::TimePoint aNow,
                     std::uint64_t aWallMs);
  //! Frees the key of a won claim whose request was not run and never will be.
  ClaimActions Release(ClaimNumber aNumber, common::TimePoint aNow, std::uint64_t aWallMs);

  //! Ignores results of appends and reads that have timed out.
  ClaimActions OnAppended(std::uint64_t aGeneration,
                          const platform::AppendResult& aResult,
                          common::TimePoint aNow,
                          std::uint64_t aWallMs);
  ClaimActions OnRead(std::uint64_t aGeneration,
                      const platform::ReadResult& aResult,
                      common::TimePoint aNow,
                      std::uint64_t aWallMs);
  //! Handles time-outs and expiry. To be called a few dozen times a second.
  ClaimActions Tick(common::TimePoint aNow, std::uint64_t aWallMs);

  std::size_t PendingCount() const { return queued_.size() + unconfirmed_.size(); }
  std::size_t ClaimedKeyCount() const { return claimedKeys_.size(); }
  std::uint64_t MalformedCount() const { return malformed_; }

private:
  struct ClaimedKey
  {
    ClaimHolder holder_;
    std::uint64_t timeMs_ = 0;
  };

  struct PendingClaim
  {
    KeyHash key_;
    common::TimePoint deadline_;
    //! Refused while undecided; the key is released if the claim's record turns out to win.
    bool isAbandoned_ = false;
  };

  struct LastClaim
  {
    std::uint64_t number_ = 0; //!< Highest claim number seen.
    std::uint64_t timeMs_ = 0;
  };

  using PendingClaims = std::map<ClaimNumber, PendingClaim>;

  bool IsWindowComplete(std::uint64_t aWallMs) const;
  void MarkWindowIncomplete(std::uint64_t aWallMs);
  void Advance(common::TimePoint aNow, std::uint64_t aWallMs, ClaimActions& aActions);
  void TimeOutLogRequests(common::TimePoint aNow, ClaimActions& aActions);
  void OnLogFailed(common::TimePoint aNow, ClaimActions& aActions);
  bool IsLogUnavailable(common::TimePoint aNow) const { return aNow < logUnavailableUntil_; }
  void OnEndOfStream(std::uint64_t aWallMs);
  void RefuseExpired(common::TimePoint aNow, ClaimActions& aActions);
  void RefuseQueued(const std::string& aReason, ClaimActions& aActions);
  void StartRead(common::TimePoint aNow, ClaimActions& aActions);
  void StartAppend(common::TimePoint aNow, std::uint64_t aWallMs, ClaimActions& aActions);
  std::string MakeBatch(std::uint64_t aWallMs);
  void ApplyRecord(const platform::Record& aRecord, std::uint64_t aWallMs, ClaimActions& aActions);
  void ApplyClaim(const KeyHash& aKey,
                  const ClaimHolder& aHolder,
                  std::uint64_t aTimeMs,
                  ClaimActions& aActions);
  void ResolveClaim(ClaimNumber aNumber, const ClaimHolder& aHolder, ClaimActions& aActions);
  void CheckRecordAfterGap(const wire::ClaimBatch& aBatch,
                           common::Offset aOffset,
                           std::uint64_t aWallMs);
  //! True if the batch has no claims or they were applied before; otherwise marks them as applied.
  bool IsDuplicate(const wire::ClaimBatch& aBatch);
  bool IsLocal(const ClaimHolder& aHolder) const;
  void RemoveExpired(std::uint64_t aWallMs);

  ClaimSettings settings_;
  std::map<KeyHash, ClaimedKey> claimedKeys_;
  //! Newest claim seen of each daemon; a batch that does not start above it is a duplicate. Daemons
  //! that start at the same moment have the same incarnation number.
  std::map<std::pair<common::InstanceId, common::Incarnation>, LastClaim> lastClaims_;
  PendingClaims queued_;      //!< Not yet sent to the log.
  PendingClaims unconfirmed_; //!< Sent to the log; their record has not been read back yet.
  std::vector<ClaimNumber> pendingReleases_;

  common::Offset nextOffset_{ 1 };
  bool isSynced_ = false; //!< The end of the stream was reached, and no gap was found since.
  bool isResumingAfterGap_ = false; //!< No record was read since a gap.
  bool isReading_ = false;
  std::uint64_t readGeneration_ = 0;
  common::Offset readOffset_; //!< Start of the read in flight.
  common::TimePoint readDeadline_;
  std::uint64_t lastSyncedAtMs_ = 0; //!< When the end of the stream was last reached; 0: never.
  //! Extended by each failure of the log, reset once a read is answered.
  common::TimePoint logUnavailableUntil_;
  //! Until then a lost record may hold a key, so that no claim is accepted.
  std::uint64_t windowIncompleteUntilMs_ = 0;
  std::uint64_t newestRecordMs_ = 0; //!< Highest time stamp of the records read.

  //! Record of the append in flight, or of an append to be repeated if the log does not have it.
  std::string pendingBatch_;
  bool isAppending_ = false;
  bool isAppendOutcomeUnknown_ = false; //!< The append may or may not have taken effect.
  std::uint64_t appendGeneration_ = 0;
  common::TimePoint appendDeadline_;
  common::TimePoint nextAppendAt_;
  common::TimePoint nextReadAt_;
  common::Duration appendInterval_;
  common::TimePoint followUntil_;
  std::uint64_t malformed_ = 0;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_Claims_h
