#include "dandelionstand/config/PublishRecord.h"

#include "dandelionstand/config/ResourceJson.h"
#include "dandelionstand/config/StreamRecord.h"
#include "dandelionstand/config/WireResource.h"
#include "dandelionstand/config/generated/records.pb.h"

#include <algorithm>
#include <set>

namespace dandelionstand::config {

namespace {

constexpr std::size_t kMaxTextLength = 64;

bool IsPrintableShortText(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxTextLength &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return aCharacter >= ' ' && aCharacter < '\x7f';
         });
}

void ReadChange(const wire::Change& aMessage,
                const std::string& aSource,
                PublishRecord& aRecord,
                common::Findings& aFindings)
{
  const auto key = KeyFromWire(aMessage.kind(), aMessage.name(), aSource, aFindings);
  if (!key) {
    return;
  }
  Change change{ *key, common::Version(aMessage.base_version()), std::nullopt };
  if (!aMessage.deleted()) {
    change.value_ = ParseResource(*key, aMessage.value(), aSource, aFindings);
    if (!change.value_) {
      return;
    }
  }
  aRecord.changes_.push_back(std::move(change));
}

void CheckRecord(const PublishRecord& aRecord,
                 const std::string& aSource,
                 common::Findings& aFindings)
{
  if (!IsPrintableShortText(aRecord.publishId_.Get())) {
    aFindings.Add({ aSource, 0, "publish_id" }, "must have 1 to 64 printable ASCII characters");
  }
  if (!IsPrintableShortText(aRecord.operator_)) {
    aFindings.Add({ aSource, 0, "operator_name" }, "must have 1 to 64 printable ASCII characters");
  }
  std::set<ResourceKey> changedKeys;
  for (const Change& change : aRecord.changes_) {
    if (!changedKeys.insert(change.key_).second) {
      aFindings.Add({ aSource, 0, change.key_.ToString() }, "is changed twice");
    }
  }
}

} // namespace

std::string EncodePublishRecord(const PublishRecord& aRecord)
{
  wire::PublishRecord message;
  message.set_publish_id(aRecord.publishId_.Get());
  message.set_operator_name(aRecord.operator_);
  message.set_built_on(aRecord.builtOn_.Get());
  message.set_published_at_ms(aRecord.publishedAtMs_);
  for (const Change& change : aRecord.changes_) {
    wire::Change* changeMessage = message.add_changes();
    changeMessage->set_kind(ToWire(change.key_.kind_));
    changeMessage->set_name(change.key_.name_);
    changeMessage->set_base_version(change.baseVersion_.Get());
    changeMessage->set_deleted(!change.value_.has_value());
    if (change.value_) {
      changeMessage->set_value(CanonicalJson(*change.value_));
    }
  }
  return EncodeStreamRecord({ RecordKind::kPublish, message.SerializeAsString() });
}

PublishRecord DecodePublishRecord(const std::string& aBody,
                                  const std::string& aSource,
                                  common::Findings& aFindings)
{
  PublishRecord record;
  wire::PublishRecord message;
  if (!message.ParseFromString(aBody)) {
    aFindings.Add({ aSource, 0, "" }, "is not a publish record");
    return record;
  }
  record.publishId_ = PublishId(message.publish_id());
  record.operator_ = message.operator_name();
  record.builtOn_ = common::Version(message.built_on());
  record.publishedAtMs_ = message.published_at_ms();
  for (const wire::Change& change : message.changes()) {
    ReadChange(change, aSource, record, aFindings);
  }
  if (message.changes().empty()) {
    aFindings.Add({ aSource, 0, "changes" }, "must change at least one resource");
  }
  CheckRecord(record, aSource, aFindings);
  return record;
}

} // namespace dandelionstand::config
