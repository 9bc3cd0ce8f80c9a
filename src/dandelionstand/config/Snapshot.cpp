#include "dandelionstand/config/Snapshot.h"

#include "dandelionstand/config/Compression.h"
#include "dandelionstand/config/StreamRecord.h"
#include "dandelionstand/config/Validate.h"
#include "dandelionstand/config/WireResource.h"
#include "dandelionstand/config/generated/records.pb.h"

#include <algorithm>
#include <stdexcept>

namespace dandelionstand::config {

namespace {

std::string EncodeContent(const ConfigState& aState)
{
  wire::StateContent content;
  content.set_version(aState.version_.Get());
  for (const Resource& resource : aState.Resources()) {
    ToWire(resource, *content.add_resources());
  }
  for (const auto& [key, version] : aState.deleted_) {
    ToWire(key, version, *content.add_tombstones());
  }
  return content.SerializeAsString();
}

ConfigState DecodeContent(const wire::StateContent& aContent,
                          const std::string& aSource,
                          common::Findings& aFindings)
{
  ConfigState state;
  state.version_ = common::Version(aContent.version());
  for (const wire::Resource& message : aContent.resources()) {
    const auto resource = ResourceFromWire(message, aSource, aFindings);
    if (resource) {
      state.Put(*resource);
    }
  }
  for (const wire::Tombstone& message : aContent.tombstones()) {
    const auto key = KeyFromWire(message.kind(), message.name(), aSource, aFindings);
    if (key) {
      state.deleted_[*key] = common::Version(message.version());
    }
  }
  return state;
}

bool HasEntriesAboveVersion(const ConfigState& aState)
{
  const std::vector<Resource> resources = aState.Resources();
  return std::any_of(
           resources.begin(),
           resources.end(),
           [&aState](const Resource& aResource) { return aResource.version_ > aState.version_; }) ||
         std::any_of(aState.deleted_.begin(),
                     aState.deleted_.end(),
                     [&aState](const auto& aDeleted) { return aDeleted.second > aState.version_; });
}

} // namespace

std::string EncodeSnapshot(const ConfigState& aState, common::Offset aAppliedOffset)
{
  wire::Snapshot message;
  message.set_through(aAppliedOffset.Get());
  message.set_hash(HashOf(aState).Get());
  message.set_content(Compress(EncodeContent(aState)));
  std::string record = EncodeStreamRecord({ RecordKind::kSnapshot, message.SerializeAsString() });
  if (record.size() > kMaxRecordBytes) {
    throw std::length_error("snapshot is longer than 1 MiB, the maximum of a record");
  }
  return record;
}

std::optional<Snapshot> DecodeSnapshot(const std::string& aBody,
                                       const std::string& aSource,
                                       common::Findings& aFindings)
{
  const auto refuse = [&](const char* aMessage) {
    aFindings.Add({ aSource, 0, "" }, aMessage);
    return std::nullopt;
  };
  wire::Snapshot message;
  wire::StateContent content;
  if (!message.ParseFromString(aBody)) {
    return refuse("is not a snapshot");
  }
  const std::optional<std::string> bytes = Decompress(message.content());
  if (!bytes || !content.ParseFromString(*bytes)) {
    return refuse("has content that cannot be decoded");
  }
  common::Findings findings;
  auto state = std::make_shared<ConfigState>(DecodeContent(content, aSource, findings));
  Validate(*state, MakePlaceLookup(aSource), findings);
  aFindings.Append(findings);
  if (!findings.IsEmpty()) {
    return std::nullopt;
  }
  if (HashOf(*state).Get() != message.hash()) {
    return refuse("has a hash that does not match its content");
  }
  if (HasEntriesAboveVersion(*state)) {
    return refuse("has resources or tombstones newer than its version");
  }
  if (message.through() < state->version_.Get()) {
    return refuse("covers fewer log records than its version");
  }
  return Snapshot{ state, common::Offset(message.through()), StateHash(message.hash()) };
}

std::optional<Snapshot> DecodeSnapshotRecord(const std::string& aData,
                                             const std::string& aSource,
                                             common::Findings& aFindings)
{
  const std::optional<StreamRecord> streamRecord = DecodeStreamRecord(aData, aSource, aFindings);
  if (!streamRecord) {
    return std::nullopt;
  }
  if (streamRecord->kind_ != RecordKind::kSnapshot) {
    aFindings.Add({ aSource, 0, "" }, "is not a snapshot");
    return std::nullopt;
  }
  return DecodeSnapshot(streamRecord->body_, aSource, aFindings);
}

} // namespace dandelionstand::config
