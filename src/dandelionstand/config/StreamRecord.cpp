#include "dandelionstand/config/StreamRecord.h"

#include "dandelionstand/config/generated/records.pb.h"

#include <xxhash.h>

namespace dandelionstand::config {

namespace {

constexpr std::uint32_t kFormatVersion = 1;

} // namespace

std::string EncodeStreamRecord(const StreamRecord& aRecord)
{
  wire::StreamRecord message;
  message.set_format(kFormatVersion);
  message.set_kind(static_cast<wire::RecordKind>(aRecord.kind_));
  message.set_checksum(XXH3_64bits(aRecord.body_.data(), aRecord.body_.size()));
  message.set_body(aRecord.body_);
  return message.SerializeAsString();
}

std::optional<StreamRecord> DecodeStreamRecord(const std::string& aData,
                                               const std::string& aSource,
                                               common::Findings& aFindings)
{
  const auto refuse = [&](const char* aMessage) {
    aFindings.Add({ aSource, 0, "" }, aMessage);
    return std::nullopt;
  };
  if (aData.size() > kMaxRecordBytes) {
    return refuse("is longer than 1 MiB");
  }
  wire::StreamRecord message;
  if (!message.ParseFromString(aData)) {
    return refuse("is not a record of the configuration stream");
  }
  if (message.format() != kFormatVersion) {
    return refuse("has an unsupported format version");
  }
  if (message.kind() != wire::PUBLISH && message.kind() != wire::SNAPSHOT) {
    return refuse("has an unknown record kind");
  }
  if (message.checksum() != XXH3_64bits(message.body().data(), message.body().size())) {
    return refuse("has a checksum that does not match its body");
  }
  return StreamRecord{ static_cast<RecordKind>(message.kind()), message.body() };
}

} // namespace dandelionstand::config
