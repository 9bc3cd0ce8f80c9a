#ifndef dandelionstand_config_Snapshot_h
#define dandelionstand_config_Snapshot_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/config/StateHash.h"

#include <optional>
#include <string>

namespace dandelionstand::config {

//! A complete state and the last log offset that it includes.
struct Snapshot
{
  ConfigStatePtr state_;
  common::Offset appliedOffset_; //!< The state includes every record up to this offset.
  StateHash hash_;
};

//! Encodes a snapshot record for the log and for peers. Throws std::length_error if it is longer
//! than kMaxRecordBytes.
std::string EncodeSnapshot(const ConfigState& aState, common::Offset aAppliedOffset);

//! Parses the body of a StreamRecord. Returns none, and adds findings, if it is malformed, fails
//! validation or its hash does not match.
std::optional<Snapshot> DecodeSnapshot(const std::string& aBody,
                                       const std::string& aSource,
                                       common::Findings& aFindings);

//! Parses a snapshot record with its StreamRecord frame, as EncodeSnapshot returns it.
std::optional<Snapshot> DecodeSnapshotRecord(const std::string& aData,
                                             const std::string& aSource,
                                             common::Findings& aFindings);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Snapshot_h
