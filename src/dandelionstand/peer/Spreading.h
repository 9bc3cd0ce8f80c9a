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

//! Events that Spreading handles.
struct SpreadingTick
{};
struct SpreadingMessageReceived
{
  common::InstanceId sender_;
  common::Address senderAddress_;
  wire::SpreadingMessage message_;
};
struct MembersUpdated
{
  Members members_;
  bool hasJoined_; //!< True once another member has answered.
};
struct LogReadCompleted
{
  std::uint64_t sequence_; //!< That of the ReadLog which this read completes.
  platform::ReadResult result_;
};
//! The state of this daemon's replica after it applied records or a snapshot.
struct ReplicaUpdated
{
  common::Offset lastOffset_; //!< The replica includes every record up to this one.
  bool hasGap_;               //!< The replica lacks records that the log no longer has.
};
using SpreadingEvent = std::variant<SpreadingTick,
                                    SpreadingMessageReceived,
                                    MembersUpdated,
                                    LogReadCompleted,
                                    ReplicaUpdated>;

//! Actions that Spreading returns for its task to carry out.
struct SendSpreading
{
  common::Address destination_;
  wire::SpreadingMessage message_;
};
//! Add a snapshot of this daemon's replica to the message and send it.
struct SendSnapshot
{
  common::Address destination_;
  wire::SpreadingMessage message_;
};
//! Apply records that directly follow those applied before.
struct ApplyRecords
{
  Records records_;
};
struct ApplySnapshot
{
  common::Offset lastOffset_; //!< According to the sender; not verified.
  std::string data_;
};
//! Continue at this offset: the log no longer has the records below it, and no peer sent them.
struct SkipToOffset
{
  common::Offset firstRetainedOffset_;
};
struct ReadLog
{
  std::uint64_t sequence_;
  common::Offset fromOffset_;
  common::Duration pollTimeout_; //!< How long the log may wait for a new record.
};
using SpreadingAction =
  std::variant<SendSpreading, SendSnapshot, ApplyRecords, ApplySnapshot, SkipToOffset, ReadLog>;
using SpreadingActions = std::vector<SpreadingAction>;

//! Decides whether this daemon reads the log and which members it forwards records to. Record
//! contents are opaque. Only records that follow the current position are accepted, so reordered
//! and duplicate messages have no effect.
class Spreading
{
public:
  Spreading(Member aSelf,
            SpreadingSettings aSettings,
            common::TimePoint aNow,
            std::mt19937_64 aRandom);

  SpreadingActions Handle(const SpreadingEvent& aEvent, common::TimePoint aNow);

  //! Offset of the last record that was accepted, included in a snapshot, or skipped.
  common::Offset Position() const { return position_; }
  VersionFloor::Decision MayServe(common::TimePoint aNow);
  //! True if this daemon currently has the reader role, that is, reads the log itself.
  bool IsReader() const { return isReader_; }
  //! Time since the last sign of life of any reader of the log; empty if there was none.
  std::optional<common::Duration> ReaderAge() const;

private:
  void On(const SpreadingTick& aTick);
  void On(const SpreadingMessageReceived& aReceived);
  void On(const MembersUpdated& aUpdated);
  void On(const LogReadCompleted& aCompleted);
  void On(const ReplicaUpdated& aReplica);

  // Reading the log (SpreadingReader.cpp).
  void UpdateReaderRole();
  bool ShouldBeReader() const;
  void ReadIfDue();
  void OnGap(const platform::ReadResult& aResult);
  void OnReadFailed();
  void UpdateLogTail(common::Offset aTail, common::TimePoint aSeenAt);

  // Accepting and forwarding records.
  void AcceptRecords(Records aRecords, const SpreadingMessageReceived* aSource);
  void AcceptSnapshot(const wire::ConfigSnapshot& aSnapshot);
  //! True if this daemon has the reader role and its reads currently succeed.
  bool IsFollowingLog() const;
  //! Sends the records to the receivers in the push tree of aOrigin. Without records, the message
  //! is a reader heartbeat.
  void Push(const Records& aRecords,
            const common::InstanceId& aOrigin,
            const common::Address& aExcluded);
  void SendReaderHeartbeatIfDue();
  void ForwardReaderHeartbeat(const SpreadingMessageReceived& aReceived);
  void SendDigestIfDue();
  void SendDigestsOnReaderTimeout();
  void FetchIfBehind();
  void SendFetch(const common::Address& aPeer);
  void OnReply(const wire::SpreadingMessage& aReply, bool aHasAdvanced);
  void AnswerRequest(const SpreadingMessageReceived& aReceived);
  void UpdateFromSender(const SpreadingMessageReceived& aReceived);

  wire::SpreadingMessage NewMessage(wire::SpreadingKind aKind) const;
  void Send(const common::Address& aTo, wire::SpreadingMessage aMessage);
  Members SelectPushReceivers(const common::InstanceId& aOrigin);
  Members PickRandom(Members aCandidates, std::size_t aCount);
  Members RegionPeers() const;
  //! Uniformly distributed between 0 and aMax.
  common::Duration RandomDelay(common::Duration aMax);
  bool HasReaderTimedOut() const;
  //! If aNextAt has passed, sets it to one interval from now and returns true.
  bool IsDue(common::TimePoint& aNextAt, common::Duration aInterval);

  Member self_;
  SpreadingSettings settings_;
  std::mt19937_64 random_;
  common::TimePoint now_;
  common::TimePoint startedAt_;
  SpreadingActions actions_;

  Members members_;
  bool hasJoined_ = false;
  common::Offset position_;
  RecordStore recordStore_;
  VersionFloor versionFloor_;
  //! Highest position received from each instance.
  std::map<common::InstanceId, common::Offset> peerPositions_;

  bool isReader_ = false;
  bool isReading_ = false;
  std::uint64_t readSequence_ = 0;
  common::TimePoint readDeadline_; //!< When the pending read counts as lost.
  common::Duration readBackoff_;
  common::TimePoint nextReadAt_;
  std::optional<common::TimePoint> gapSince_;
  bool isReplicaComplete_ = true; //!< False while the replica has a gap.
  //! When logTail_ was last known to be the end of the log.
  std::optional<common::TimePoint> logTailSeenAt_;
  common::Offset logTail_;
  //! When this daemon last read the log successfully.
  std::optional<common::TimePoint> lastReadAt_;
  std::optional<common::TimePoint> readerSeenAt_; //!< Last sign of life of any reader of the log.
  //! Last sign of life of a reader of this region that has a better rank.
  std::optional<common::TimePoint> betterReaderSeenAt_;
  //! Value of readerSeenAt_ in the reader heartbeat forwarded last.
  std::optional<common::TimePoint> forwardedReaderSeenAt_;
  common::InstanceId forwardedOrigin_; //!< Reader of the heartbeat forwarded last.

  common::Offset highestPosition_; //!< Highest position known of this daemon, a peer or the log.
  //! The peer that reported highestPosition_; if empty, a fetch goes to a random peer.
  common::Address highestPositionPeer_;
  std::optional<common::TimePoint> fetchSentAt_;
  common::TimePoint nextFetchAt_;
  common::TimePoint nextHeartbeatAt_;
  common::TimePoint nextDigestAt_;
  common::TimePoint nextTimeoutDigestAt_;
  TokenBucket answerLimiter_; //!< Limits the rate of answers that carry records or a snapshot.
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_Spreading_h
