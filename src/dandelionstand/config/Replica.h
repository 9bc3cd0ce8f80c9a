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

//! A record's offset and the result of its acceptance check.
struct EvaluatedRecord
{
  common::Offset offset_;
  AcceptResult result_;
};

enum class AdoptOutcome
{
  kAdopted,  //!< The state's version or the applied offset increased.
  kNotNewer, //!< The replica already has this state; nothing changed.
  kRefused,  //!< Contradicts the log, or the delta does not apply to this state.
};

struct ReplicaCounts
{
  std::uint64_t accepted_ = 0;
  std::uint64_t refused_ = 0;        //!< Records with conflicts or findings.
  std::uint64_t garbage_ = 0;        //!< Records or logged snapshots that cannot be decoded.
  std::uint64_t alreadyApplied_ = 0; //!< Records that were read or covered before.
  std::uint64_t outOfOrder_ = 0;     //!< Records dropped because a predecessor is missing.
  std::uint64_t snapshots_ = 0;      //!< Valid snapshots read from the log.
  std::uint64_t diverged_ = 0;       //!< Snapshots and deltas that contradict this replica's state.
  std::uint64_t gaps_ = 0;           //!< Times that the log had dropped the next record to read.
  std::uint64_t forcedGaps_ = 0;     //!< Gaps closed without a snapshot that covers them.
};

//! One reader's copy of the configuration. Applies the log's records in order and adopts deltas and
//! snapshots from peers. The version never decreases, and no reference in the state dangles.
class Replica
{
public:
  Replica();

  const ConfigStatePtr& State() const { return state_; }
  //! The state includes every record up to this offset.
  common::Offset AppliedOffset() const { return appliedOffset_; }
  //! Offset of the next record to read from the log.
  common::Offset NextOffset() const;
  const ReplicaCounts& Counts() const { return counts_; }
  //! Offset of the newest snapshot record read from the log, and the highest applied offset of
  //! those snapshots; 0 if there was none.
  common::Offset SnapshotOffset() const { return snapshotOffset_; }
  common::Offset SnapshotAppliedOffset() const { return snapshotAppliedOffset_; }

  //! Handles a record that follows aPreviousOffset in the log (0 for the first one). Returns the
  //! records that were evaluated: none during a gap, and the buffered ones when it closes.
  std::vector<EvaluatedRecord> OnRecord(common::Offset aPreviousOffset, const LogRecord& aRecord);
  //! Reports that aOldestOffset is the oldest record in the log. If records are missing, later ones
  //! are buffered until a snapshot from the log or a peer covers aOldestOffset - 1.
  void OnGap(common::Offset aOldestOffset);
  bool HasGap() const { return gapEnd_.has_value(); }
  //! Continues without the missing records, from the snapshot with the highest applied offset or
  //! from the current state. A last resort for when neither the log nor a peer has a covering
  //! snapshot.
  std::vector<EvaluatedRecord> ForceCloseGap();

  AdoptOutcome OnSnapshot(const Snapshot& aSnapshot, std::vector<EvaluatedRecord>& aEvaluated);
  AdoptOutcome OnDelta(const Delta& aDelta, std::vector<EvaluatedRecord>& aEvaluated);

private:
  void Evaluate(const LogRecord& aRecord, std::vector<EvaluatedRecord>& aEvaluated);
  void Count(AcceptOutcome aOutcome);
  void BufferRecord(const LogRecord& aRecord, std::vector<EvaluatedRecord>& aEvaluated);
  void HandleLoggedSnapshot(const LogRecord& aRecord);
  AdoptOutcome Adopt(const ConfigStatePtr& aState,
                     common::Offset aAppliedOffset,
                     std::vector<EvaluatedRecord>& aEvaluated);
  void CloseGap(std::vector<EvaluatedRecord>& aEvaluated);

  ConfigStatePtr state_;
  common::Offset appliedOffset_;
  ReplicaCounts counts_;
  common::Offset snapshotOffset_;
  common::Offset snapshotAppliedOffset_;
  std::optional<common::Offset> gapEnd_; //!< First offset after the gap, if there is a gap.
  //! The snapshot with the highest applied offset among those that do not cover the gap.
  std::optional<Snapshot> furthestSnapshot_;
  std::vector<LogRecord> bufferedRecords_;
  std::size_t bufferedBytes_ = 0;
  common::Offset lastSkippedOffset_; //!< Records up to here may have been skipped by ForceCloseGap.
  common::Offset lastReadOffset_;    //!< Last record that was read during the gap; 0 without a gap.
};

} // namespace dandelionstand::config

#endif // dandelionstand_config_Replica_h
