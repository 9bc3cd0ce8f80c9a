#ifndef dandelionstand_config_StreamRecord_h
#define dandelionstand_config_StreamRecord_h

#include "dandelionstand/common/Findings.h"

#include <cstddef>
#include <optional>
#include <string>

namespace dandelionstand::config {

//! Name of the log stream that holds publish records and snapshots.
constexpr const char* kConfigStream = "config";

//! Maximum size of an encoded record; longer ones are refused as malformed.
constexpr std::size_t kMaxRecordBytes = 1'048'576;

enum class RecordKind
{
  kPublish = 1,
  kSnapshot = 2,
};

//! A decoded record frame of the configuration stream; the encoding adds format version and
//! checksum.
struct StreamRecord
{
  RecordKind kind_;
  std::string body_;
};

std::string EncodeStreamRecord(const StreamRecord& aRecord);

//! Checks size, format, kind and checksum. Returns none, and adds a finding, if a check fails.
std::optional<StreamRecord> DecodeStreamRecord(const std::string& aData,
                                               const std::string& aSource,
                                               common::Findings& aFindings);

} // namespace dandelionstand::config

#endif // dandelionstand_config_StreamRecord_h
