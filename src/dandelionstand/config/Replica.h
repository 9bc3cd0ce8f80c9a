#ifndef dandelionstand_config_Replica_h
#define dandelionstand_config_Replica_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/config/Acceptance.h"
#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/config/Delta.h"
#include "dandelionstand/config/Snapshot.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::config {

//! A record of the configuration stream.
struct LogRecord
{
  common::Offset offset_;
  std::string data_;
};

//! What the acceptance rule made of one record.
struct EvaluatedRecord
{
  common::Offset offset_;
  AcceptResult result_;
};

enum class AdoptOutcome
{
  kAdopted,  //!< The state or the reach into the log grew.
  kNotNewer, //!< Nothing to gain; the replica is as it was.
  kRefused,  //!< The delta starts elsewhere or leads to another hash.
};

struct ReplicaCounts
{
  std::uint64_t accepted_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t garbage_ = 0;
  std::uint64_t old_ = 0;        //!< Records that were part of the state before.
  std::uint64_t missing_ = 0;    //!< Records that came before one of their predecessors.
  std::uint64_t snapshots_ = 0;  //!< Whole snapshots seen in the log.
  std::uint64_t diverged_ = 0;   //!< Snapshots and deltas that contradict the own fold of the log.
  std::uint64_t gaps_ = 0;       //!< Times that the log no longer kept what was to be read next.
  std::uint64_t forcedGaps_ = 0; //!< Gaps that were left without a snapshot to bridge them.
};

//! One reader's copy of the configuration: folds the log's records in order, and takes deltas and
//! snapshots from peers. Its version never falls and its state is always closed under references.
class Replica
{
public:
  Replica();

  const ConfigStatePtr& State() const { return state_; }
  //! Every record up to this offset is part of the state.
  common::Offset AppliedOffset() const { return through_; }
  //! Where to read the log next.
  common::Offset NextOffset() const;
  const ReplicaCounts& Counts() const { return counts_; }
  //! The newest snapshot record seen in the log, and how far it reaches; 0 if none was.
  common::Offset SnapshotOffset() const { return snapshotOffset_; }
  common::Offset SnapshotThrough() const { return snapshotThrough_; }

  //! Takes a record that follows aPrevious in the log (0 for the first one).
  //! Returns what was evaluated; after a gap that is every record held back until now.
  std::vector<EvaluatedRecord> OnRecord(common::Offset aPrevious, const LogRecord& aRecord);
  //! The log keeps records from aFirst on only. Records are then held back until a snapshot in the
  //! log or of a peer reaches aFirst - 1.
  void OnGap(common::Offset aFirst);
  bool HasGap() const { return gapFirst_.has_value(); }
  //! Goes on without the records that were lost, from the snapshot that reaches furthest or from
  //! the own state. For the owner to call once neither log nor peers can help.
  std::vector<EvaluatedRecord> ForceCloseGap();

  AdoptOutcome OnSnapshot(const Snapshot& aSnapshot, std::vector<EvaluatedRecord>& aEvaluated);
  AdoptOutcome OnDelta(const Delta& aDelta, std::vector<EvaluatedRecord>& aEvaluated);

private:
  void Evaluate(const LogRecord& aRecord, std::vector<EvaluatedRecord>& aEvaluated);
  void Count(AcceptOutcome aOutcome);
  void HoldBack(const LogRecord& aRecord, std::vector<EvaluatedRecord>& aEvaluated);
  void NoteSnapshot(const LogRecord& aRecord);
  AdoptOutcome Adopt(const ConfigStatePtr& aState,
                     common::Offset aThrough,
                     std::vector<EvaluatedRecord>& aEvaluated);
  void CloseGap(std::vector<EvaluatedRecord>& aEvaluated);

  ConfigStatePtr state_;
  common::Offset through_;
  ReplicaCounts counts_;
  common::Offset snapshotOffset_;
  common::Offset snapshotThrough_;
  std::optional<common::Offset> gapFirst_;
  std::optional<Snapshot> furthest_; //!< Of the snapshots that do not bridge the gap.
  std::vector<LogRecord> heldBack_;
  std::size_t heldBackBytes_ = 0;
  common::Offset unreadThrough_; //!< Records up to here may have been lost unread.
  common::Offset heldThrough_;   //!< The last record that was read since the gap.
};

} // namespace dandelionstand::config

#endif // dandelionstand_config_Replica_h
