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

//! Hash of a service and an idempotency key.
struct KeyHash
{
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;

  auto operator<=>(const KeyHash&) const = default;
};

KeyHash HashKey(const common::ServiceName& aService, const std::string& aKey);

//! The number of a claim within the incarnation that makes it.
using ClaimNumber = common::StrongId<struct ClaimNumberTag, std::uint64_t>;

//! Who holds a key, as the log says.
struct ClaimHolder
{
  common::InstanceId instance_;
  common::Incarnation incarnation_;
  common::Address address_;
  ClaimNumber number_;

  bool operator==(const ClaimHolder&) const = default;
};

//! Append the record to the shard's stream.
struct AppendClaims
{
  std::uint64_t generation_ = 0; //!< Names the append in its result.
  std::string record_;
};

//! Read the shard's stream.
struct ReadClaims
{
  std::uint64_t generation_ = 0; //!< Names the read in its result.
  common::Offset from_;
  common::Duration wait_{ 0 };
};

//! The key is ours: the request may run once, until the claim is released.
struct ClaimWon
{
  ClaimNumber number_;
};

//! Another claim came first.
struct ClaimLost
{
  ClaimNumber number_;
  ClaimHolder holder_;
};

//! Nothing is decided and nothing may run for this claim any more.
struct ClaimRefused
{
  ClaimNumber number_;
  std::string reason_;
};

using ClaimAction = std::variant<AppendClaims, ReadClaims, ClaimWon, ClaimLost, ClaimRefused>;
using ClaimActions = std::vector<ClaimAction>;

struct ClaimSettings
{
  ClaimHolder self_; //!< Without a number.
  //! A key is remembered for this long after its claim; well below the log's retention.
  std::chrono::milliseconds window_ = std::chrono::minutes(10);
  //! A claim that is not settled by then is refused.
  common::Duration timeout_ = std::chrono::seconds(1);
  //! Least time between two appends; grows while the log is overloaded.
  common::Duration appendInterval_ = std::chrono::milliseconds(50);
  common::Duration appendIntervalAtMost_ = std::chrono::seconds(1);
  //! The stream is followed for this long after the last claim.
  common::Duration followFor_ = std::chrono::seconds(30);
};

//! Decides who may run a keyed request, for one shard of the keys.
//!
//! The first claim record of a key in the log's stream wins. A claim counts as won only after the
//! stream was read up to it, and only if the records of the whole window are known.
class Claims
{
public:
  explicit Claims(ClaimSettings aSettings);

  //! Asks for a key. aNumber must be unused and above all earlier ones.
  ClaimActions Claim(ClaimNumber aNumber,
                     const KeyHash& aKey,
                     common::TimePoint aNow,
                     std::uint64_t aWallMs);
  //! The request of a won claim was not run and will not be.
  ClaimActions Release(ClaimNumber aNumber, common::TimePoint aNow, std::uint64_t aWallMs);

  //! Results of an append or a read that was given up meanwhile are ignored.
  ClaimActions OnAppended(std::uint64_t aGeneration,
                          const platform::AppendResult& aResult,
                          common::TimePoint aNow,
                          std::uint64_t aWallMs);
  ClaimActions OnRead(std::uint64_t aGeneration,
                      const platform::ReadResult& aResult,
                      common::TimePoint aNow,
                      std::uint64_t aWallMs);
  //! Called a few dozen times a second while there is work.
  ClaimActions Tick(common::TimePoint aNow, std::uint64_t aWallMs);

  std::size_t Pending() const { return waiting_.size() + sent_.size(); }
  std::size_t Known() const { return entries_.size(); }
  std::uint64_t Malformed() const { return malformed_; }

private:
  struct Entry
  {
    ClaimHolder holder_;
    std::uint64_t timeMs_ = 0;
  };

  struct OpenClaim
  {
    KeyHash key_;
    common::TimePoint deadline_;
    bool isAbandoned_ = false; //!< Refused before it was settled; released once it is seen.
  };

  struct LastClaim
  {
    std::uint64_t number_ = 0;
    std::uint64_t timeMs_ = 0;
  };

  using OpenClaims = std::map<ClaimNumber, OpenClaim>;

  bool IsComplete(std::uint64_t aWallMs) const;
  void LoseWindow(std::uint64_t aWallMs);
  void Drive(common::TimePoint aNow, std::uint64_t aWallMs, ClaimActions& aActions);
  void GiveUpSilentRequests(common::TimePoint aNow, ClaimActions& aActions);
  void LogFailed(common::TimePoint aNow, ClaimActions& aActions);
  bool IsLogAway(common::TimePoint aNow) const { return aNow < logAwayUntil_; }
  void ReachedEnd(std::uint64_t aWallMs);
  void RefuseLate(common::TimePoint aNow, ClaimActions& aActions);
  void RefuseWaiting(const std::string& aReason, ClaimActions& aActions);
  void StartRead(common::TimePoint aNow, ClaimActions& aActions);
  void StartAppend(common::TimePoint aNow, std::uint64_t aWallMs, ClaimActions& aActions);
  std::string MakeBatch(std::uint64_t aWallMs);
  void TakeRecord(const platform::Record& aRecord, std::uint64_t aWallMs, ClaimActions& aActions);
  void TakeClaim(const KeyHash& aKey,
                 const ClaimHolder& aHolder,
                 std::uint64_t aTimeMs,
                 ClaimActions& aActions);
  void Settle(ClaimNumber aNumber, const ClaimHolder& aHolder, ClaimActions& aActions);
  void TakeFirstRecord(const wire::ClaimBatch& aBatch,
                       common::Offset aOffset,
                       std::uint64_t aWallMs);
  bool IsRepeated(const wire::ClaimBatch& aBatch);
  bool IsOwn(const ClaimHolder& aHolder) const;
  void Expire(std::uint64_t aWallMs);

  ClaimSettings settings_;
  std::map<KeyHash, Entry> entries_;
  //! The newest claim seen of each incarnation; what is not newer is a repeated record.
  std::map<common::Incarnation, LastClaim> lastClaims_;
  OpenClaims waiting_; //!< Not yet in an append.
  OpenClaims sent_;    //!< In an append whose record was not read yet.
  std::vector<ClaimNumber> releases_;

  common::Offset next_{ 1 };
  bool isSynced_ = false; //!< The end of the stream was reached, and no gap since.
  bool beganAtGap_ = false;
  bool isReading_ = false;
  std::uint64_t readGeneration_ = 0;
  common::Offset readFrom_; //!< Of the read under way.
  common::TimePoint readUntil_;
  std::uint64_t lastReadMs_ = 0;
  //! Set by each failure of the log, cleared by its next answer.
  common::TimePoint logAwayUntil_;
  std::uint64_t incompleteUntilMs_ = 0;
  std::uint64_t newestMs_ = 0;

  //! The record of the append under way, or of one whose answer was lost.
  std::string batch_;
  bool isAppending_ = false;
  bool isAppendUnsettled_ = false; //!< Whether it took effect is not known.
  std::uint64_t appendGeneration_ = 0;
  common::TimePoint appendUntil_;
  common::TimePoint nextAppend_;
  common::TimePoint nextRead_;
  common::Duration interval_;
  common::TimePoint followUntil_;
  std::uint64_t malformed_ = 0;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_Claims_h
