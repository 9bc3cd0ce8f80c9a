#ifndef dandelionstand_peer_Spreading_h
#define dandelionstand_peer_Spreading_h

#include "dandelionstand/peer/PushReceivers.h"
#include "dandelionstand/peer/RecordStore.h"
#include "dandelionstand/peer/SpreadingSettings.h"
#include "dandelionstand/peer/TokenBucket.h"
#include "dandelionstand/peer/VersionFloor.h"
#include "dandelionstand/peer/generated/spreading.pb.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace dandelionstand::peer {

//! Events of the spreading.
struct SpreadingTick
{};
struct SpreadingReceived
{
  common::InstanceId sender_;
  common::Address senderAddress_;
  wire::SpreadingMessage message_;
};
struct MembersKnown
{
  Members members_;
  bool hasJoined_; //!< Another member has answered.
};
struct LogRead
{
  std::uint64_t sequence_; //!< Of the ReadLog that it answers.
  platform::ReadResult result_;
};
//! The own replica after it took records or a snapshot.
struct ReplicaAt
{
  common::Offset through_; //!< Every record up to this one is part of its state.
  bool hasGap_;            //!< It lacks records that the log has lost.
};
using SpreadingEvent =
  std::variant<SpreadingTick, SpreadingReceived, MembersKnown, LogRead, ReplicaAt>;

//! Actions that the spreading asks its task to carry out.
struct SendSpreading
{
  common::Address to_;
  wire::SpreadingMessage message_;
};
//! Send the message with a snapshot of the own state in it.
struct SendSnapshot
{
  common::Address to_;
  wire::SpreadingMessage message_;
};
//! Records that follow the ones applied before.
struct ApplyRecords
{
  Records records_;
};
struct ApplySnapshot
{
  common::Offset through_; //!< As the sender claims.
  std::string data_;
};
//! The log no longer has the records below aFirst_, and no peer did either.
struct SkipTo
{
  common::Offset first_;
};
struct ReadLog
{
  std::uint64_t sequence_;
  common::Offset from_;
  common::Duration wait_;
};
using SpreadingAction =
  std::variant<SendSpreading, SendSnapshot, ApplyRecords, ApplySnapshot, SkipTo, ReadLog>;
using SpreadingActions = std::vector<SpreadingAction>;

//! Decides who reads the log and whom records are passed on to. Records are opaque here; their
//! offsets alone say what is new, so crossed and repeated messages have no effect.
class Spreading
{
public:
  Spreading(Member aSelf,
            SpreadingSettings aSettings,
            common::TimePoint aNow,
            std::mt19937_64 aRandom);

  SpreadingActions Handle(const SpreadingEvent& aEvent, common::TimePoint aNow);

  //! Offset of the last processed record.
  common::Offset Position() const { return position_; }
  VersionFloor::Decision MayServe(common::TimePoint aNow);
  //! True if this daemon follows the log itself at present.
  bool IsReader() const { return isReader_; }
  //! Time since any reader of the log was last heard; none if there never was one.
  std::optional<common::Duration> ReaderAge() const;

private:
  void On(const SpreadingTick& aTick);
  void On(const SpreadingReceived& aReceived);
  void On(const MembersKnown& aKnown);
  void On(const LogRead& aRead);
  void On(const ReplicaAt& aReplica);

  // Reading the log (SpreadingReader.cpp).
  void UpdateReader();
  bool ShouldRead() const;
  void ReadIfDue();
  void OnGap(const platform::ReadResult& aResult);
  void OnReadFailed();
  void NoteTail(common::Offset aTail, common::TimePoint aSeenAt);

  // Taking and passing on.
  void TakeRecords(Records aRecords, const SpreadingReceived* aFrom);
  void TakeSnapshot(const wire::ConfigSnapshot& aSnapshot);
  bool IsFollowingLog() const;
  void Push(const Records& aRecords,
            const common::InstanceId& aOrigin,
            const common::Address& aExcept);
  void Beat();
  void ForwardBeat(const SpreadingReceived& aReceived);
  void Digest();
  void AskWhenSilent();
  void FetchIfBehind();
  void Fetch(const common::Address& aFrom);
  void OnReply(const wire::SpreadingMessage& aReply, bool aBroughtNews);
  void Answer(const SpreadingReceived& aReceived);
  void NoteSender(const SpreadingReceived& aReceived);

  wire::SpreadingMessage NewMessage(wire::SpreadingKind aKind) const;
  void Send(const common::Address& aTo, wire::SpreadingMessage aMessage);
  Members TargetsOf(const common::InstanceId& aOrigin);
  Members PickRandom(Members aFrom, std::size_t aCount);
  Members RegionPeers() const;
  common::Duration Jittered(common::Duration aMost);
  bool IsSilent() const;
  bool IsDue(common::TimePoint& aNext, common::Duration aInterval);

  Member self_;
  SpreadingSettings settings_;
  std::mt19937_64 random_;
  common::TimePoint now_;
  common::TimePoint start_;
  SpreadingActions actions_;

  Members members_;
  bool hasJoined_ = false;
  common::Offset position_;
  RecordStore store_;
  VersionFloor floor_;
  std::map<common::InstanceId, common::Offset> positions_; //!< Highest heard of each instance.

  bool isReader_ = false;
  bool isReading_ = false;
  std::uint64_t readSequence_ = 0;
  common::TimePoint readOverdue_; //!< When the read under way counts as lost.
  common::Duration readBackoff_;
  common::TimePoint nextRead_;
  std::optional<common::TimePoint> gapSince_;
  bool isUsable_ = true;                        //!< The replica has no gap.
  std::optional<common::TimePoint> tailSeenAt_; //!< When tail_ was the end of the log.
  common::Offset tail_;
  std::optional<common::TimePoint> lastReadAt_;   //!< Last answer of the log to this daemon.
  std::optional<common::TimePoint> readerSeenAt_; //!< Last sign of any reader of the log.
  //! A better-ranked reader of the region and when it was last heard.
  std::optional<common::TimePoint> betterReaderAt_;
  std::optional<common::TimePoint> beatForwardedAt_;

  common::Offset highest_; //!< Highest position that any peer or the log is known to have.
  common::Address highestAt_;
  std::optional<common::TimePoint> fetchSentAt_;
  common::TimePoint nextFetch_;
  common::TimePoint nextBeat_;
  common::TimePoint nextDigest_;
  common::TimePoint nextAsk_;
  TokenBucket answers_; //!< Admission of answers that carry records or a snapshot.
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_Spreading_h
