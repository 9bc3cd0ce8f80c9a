#ifndef dandelionstand_config_StreamRecord_h
#define dandelionstand_config_StreamRecord_h

#include "dandelionstand/common/Findings.h"

#include <cstddef>
#include <optional>
#include <string>

namespace dandelionstand::config {

//! Name of the log's stream for publish records and snapshots.
constexpr const char* kConfigStream = "config";

//! Longest record that is read; a longer one counts as garbage.
constexpr std::size_t kMaxRecordBytes = 1'048'576;

enum class RecordKind
{
  kPublish = 1,
  kSnapshot = 2,
};

//! The frame around each record of the configuration stream.
struct StreamRecord
{
  RecordKind kind_;
  std::string body_;
};

std::string EncodeStreamRecord(const StreamRecord& aRecord);

//! Checks size, format and checksum; empty with a finding if the bytes are not a record.
std::optional<StreamRecord> DecodeStreamRecord(const std::string& aData,
                                               const std::string& aSource,
                                               common::Findings& aFindings);

} // namespace dandelionstand::config

#endif // dandelionstand_config_StreamRecord_h
