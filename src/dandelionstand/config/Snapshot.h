#ifndef dandelionstand_config_Snapshot_h
#define dandelionstand_config_Snapshot_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/config/StateHash.h"

#include <optional>
#include <string>

namespace dandelionstand::config {

//! A whole state and how far into the log it goes.
struct Snapshot
{
  ConfigStatePtr state_;
  common::Offset appliedOffset_; //!< Every record up to this offset is part of the state.
  StateHash hash_;
};

//! The bytes of a snapshot record, for the log and for peers. Throws std::length_error if they are
//! longer than kMaxRecordBytes.
std::string EncodeSnapshot(const ConfigState& aState, common::Offset aThrough);

//! Parses the body of a stream record; empty with findings if it is damaged, is not closed under
//! references, or has another hash than it names.
std::optional<Snapshot> DecodeSnapshot(const std::string& aBody,
                                       const std::string& aSource,
                                       common::Findings& aFindings);

//! Parses the bytes of a snapshot record as a peer sends them.
std::optional<Snapshot> DecodeSnapshotRecord(const std::string& aData,
                                             const std::string& aSource,
                                             common::Findings& aFindings);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Snapshot_h
