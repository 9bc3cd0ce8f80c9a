#include "dandelionstand/config/Snapshot.h"

#include "dandelionstand/config/Compression.h"
#include "dandelionstand/config/StreamRecord.h"
#include "dandelionstand/config/Validate.h"
#include "dandelionstand/config/WireResource.h"
#include "dandelionstand/config/generated/records.pb.h"

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

ConfigState StateFrom(const wire::StateContent& aContent,
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

} // namespace

std::string EncodeSnapshot(const ConfigState& aState, common::Offset aThrough)
{
  wire::Snapshot message;
  message.set_through(aThrough.Get());
  message.set_hash(HashOf(aState).Get());
  message.set_content(Pack(EncodeContent(aState)));
  std::string record = EncodeStreamRecord({ RecordKind::kSnapshot, message.SerializeAsString() });
  if (record.size() > kMaxRecordBytes) {
    throw std::length_error("the snapshot is longer than a record may be");
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
  const std::optional<std::string> bytes = Unpack(message.content());
  if (!bytes || !content.ParseFromString(*bytes)) {
    return refuse("has a damaged content");
  }
  common::Findings findings;
  auto state = std::make_shared<ConfigState>(StateFrom(content, aSource, findings));
  Validate(*state, PlacesIn(aSource), findings);
  aFindings.Append(findings);
  if (!findings.IsEmpty()) {
    return std::nullopt;
  }
  if (HashOf(*state).Get() != message.hash()) {
    return refuse("has another hash than its content");
  }
  if (message.through() < state->version_.Get()) {
    return refuse("ends before its own version");
  }
  return Snapshot{ state, common::Offset(message.through()), StateHash(message.hash()) };
}

std::optional<Snapshot> DecodeSnapshotRecord(const std::string& aData,
                                             const std::string& aSource,
                                             common::Findings& aFindings)
{
  const std::optional<StreamRecord> frame = DecodeStreamRecord(aData, aSource, aFindings);
  if (!frame) {
    return std::nullopt;
  }
  if (frame->kind_ != RecordKind::kSnapshot) {
    aFindings.Add({ aSource, 0, "" }, "is not a snapshot");
    return std::nullopt;
  }
  return DecodeSnapshot(frame->body_, aSource, aFindings);
}

} // namespace dandelionstand::config
