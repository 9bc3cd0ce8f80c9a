#include "dandelionstand/config/Delta.h"

#include "dandelionstand/config/Acceptance.h"
#include "dandelionstand/config/Compression.h"
#include "dandelionstand/config/StreamRecord.h"
#include "dandelionstand/config/WireResource.h"
#include "dandelionstand/config/generated/records.pb.h"

namespace dandelionstand::config {

std::optional<Delta> DeltaSince(const ConfigState& aState,
                                common::Offset aAppliedOffset,
                                common::Version aFrom)
{
  const bool isBelow = aFrom < aState.version_;
  if (!isBelow || aState.version_.Get() - aFrom.Get() > kMaxBaseAge) {
    return std::nullopt;
  }
  Delta delta{ aFrom, aState.version_, HashOf(aState), aAppliedOffset, {}, {} };
  for (const Resource& resource : aState.Resources()) {
    if (resource.version_ > aFrom) {
      delta.changed_.push_back(resource);
    }
  }
  for (const auto& [key, version] : aState.deleted_) {
    if (version > aFrom) {
      delta.deleted_.push_back({ key, version });
    }
  }
  return delta;
}

ConfigStatePtr ApplyDelta(const ConfigState& aCurrent, const Delta& aDelta)
{
  if (aCurrent.version_ != aDelta.fromVersion_ || aDelta.toVersion_ <= aDelta.fromVersion_) {
    return nullptr;
  }
  auto next = std::make_shared<ConfigState>(aCurrent);
  next->version_ = aDelta.toVersion_;
  for (const Resource& resource : aDelta.changed_) {
    next->Put(resource);
  }
  for (const Tombstone& tombstone : aDelta.deleted_) {
    next->Erase(tombstone.key_, tombstone.version_);
  }
  PurgeOldTombstones(*next);
  return HashOf(*next) == aDelta.toHash_ ? next : nullptr;
}

std::string EncodeDelta(const Delta& aDelta)
{
  wire::Delta message;
  message.set_from_version(aDelta.fromVersion_.Get());
  message.set_to_version(aDelta.toVersion_.Get());
  message.set_to_hash(aDelta.toHash_.Get());
  message.set_through(aDelta.appliedOffset_.Get());
  for (const Resource& resource : aDelta.changed_) {
    ToWire(resource, *message.add_resources());
  }
  for (const Tombstone& tombstone : aDelta.deleted_) {
    ToWire(tombstone.key_, tombstone.version_, *message.add_tombstones());
  }
  return Compress(message.SerializeAsString());
}

std::optional<Delta> DecodeDelta(const std::string& aData,
                                 const std::string& aSource,
                                 common::Findings& aFindings)
{
  const std::optional<std::string> bytes =
    aData.size() <= kMaxRecordBytes ? Decompress(aData) : std::nullopt;
  wire::Delta message;
  if (!bytes || !message.ParseFromString(*bytes)) {
    aFindings.Add({ aSource, 0, "" }, "is not a valid delta");
    return std::nullopt;
  }
  common::Findings findings;
  Delta delta{ common::Version(message.from_version()),
               common::Version(message.to_version()),
               StateHash(message.to_hash()),
               common::Offset(message.through()),
               {},
               {} };
  for (const wire::Resource& changed : message.resources()) {
    const auto resource = ResourceFromWire(changed, aSource, findings);
    if (resource) {
      delta.changed_.push_back(*resource);
    }
  }
  for (const wire::Tombstone& deleted : message.tombstones()) {
    const auto key = KeyFromWire(deleted.kind(), deleted.name(), aSource, findings);
    if (key) {
      delta.deleted_.push_back({ *key, common::Version(deleted.version()) });
    }
  }
  aFindings.Append(findings);
  return findings.IsEmpty() ? std::make_optional(std::move(delta)) : std::nullopt;
}

} // namespace dandelionstand::config
