#include "dandelionstand/operators/Rendering.h"

#include "dandelionstand/config/ResourceJson.h"

namespace dandelionstand::operators {

namespace {

using nlohmann::json;

const char* ChangeKindOf(const config::Change& aChange)
{
  if (!aChange.value_) {
    return "delete";
  }
  return aChange.baseVersion_ == common::Version(0) ? "add" : "replace";
}

const char* NameOf(PublishVerdict aVerdict)
{
  switch (aVerdict) {
    case PublishVerdict::kAccepted:
      return "accepted";
    case PublishVerdict::kNoChange:
      return "no-change";
    case PublishVerdict::kLostRace:
      return "lost-race";
    case PublishVerdict::kInvalid:
      return "invalid";
    case PublishVerdict::kUnavailable:
      return "unavailable";
    case PublishVerdict::kUnknown:
      return "unknown";
  }
  return "";
}

const char* NameOf(config::AcceptOutcome aOutcome)
{
  switch (aOutcome) {
    case config::AcceptOutcome::kAccepted:
      return "accepted";
    case config::AcceptOutcome::kConflict:
      return "lost-race";
    case config::AcceptOutcome::kInvalid:
      return "invalid";
    case config::AcceptOutcome::kGarbage:
      return "garbage";
    case config::AcceptOutcome::kOld:
      return "old";
    case config::AcceptOutcome::kSnapshot:
      return "snapshot";
  }
  return "";
}

std::string VersionText(common::Version aVersion)
{
  return std::to_string(aVersion.Get());
}

std::string ToText(const config::Conflict& aConflict)
{
  const std::string relation =
    aConflict.isDeleted_ ? " was deleted by version " : " is at version ";
  return "  " + aConflict.key_.ToString() + relation + VersionText(aConflict.currentVersion_) +
         ", the change was based on version " + VersionText(aConflict.baseVersion_) + "\n";
}

json ToJson(const std::vector<config::Conflict>& aConflicts)
{
  json list = json::array();
  for (const config::Conflict& conflict : aConflicts) {
    list.push_back({ { "resource", conflict.key_.ToString() },
                     { "base", conflict.baseVersion_.Get() },
                     { "won_by", conflict.currentVersion_.Get() },
                     { "deleted", conflict.isDeleted_ } });
  }
  return list;
}

} // namespace

std::string ToText(const std::vector<config::Change>& aChanges)
{
  std::string text;
  for (const config::Change& change : aChanges) {
    text += std::string("  ") + ChangeKindOf(change) + " " + change.key_.ToString();
    text += change.value_ ? " " + config::CanonicalJson(*change.value_) + "\n" : "\n";
  }
  return text;
}

std::string ToText(const PublishOutcome& aOutcome)
{
  const std::string version = VersionText(aOutcome.version_);
  switch (aOutcome.verdict_) {
    case PublishVerdict::kAccepted:
      return "accepted as version " + version + "\n" + ToText(aOutcome.changes_);
    case PublishVerdict::kNoChange:
      return "nothing to change; the newest version is " + version + "\n";
    case PublishVerdict::kLostRace: {
      std::string text = "refused: another publish changed these resources first\n";
      for (const config::Conflict& conflict : aOutcome.conflicts_) {
        text += ToText(conflict);
      }
      return text;
    }
    case PublishVerdict::kInvalid:
      return "refused: the configuration is not valid\n" + aOutcome.findings_.ToString();
    case PublishVerdict::kUnavailable:
      return "nothing was published: the log was not available in time\n" +
             aOutcome.findings_.ToString();
    case PublishVerdict::kUnknown:
      return "the record may be in the log; publish again with the same --id to learn its fate\n" +
             aOutcome.findings_.ToString();
  }
  return "";
}

std::string ToText(const config::EvaluatedRecord& aRecord)
{
  const config::PublishRecord& record = aRecord.result_.record_;
  std::string text = std::to_string(aRecord.offset_.Get()) + " " + NameOf(aRecord.result_.outcome_);
  if (!record.publishId_.Get().empty()) {
    text += " id " + record.publishId_.Get() + " by " + record.operator_ + "\n";
    text += ToText(record.changes_);
  } else {
    text += "\n";
  }
  for (const common::Finding& finding : aRecord.result_.findings_.All()) {
    text += "  finding: " + finding.ToString() + "\n";
  }
  return text;
}

json ToJson(const common::Findings& aFindings)
{
  json list = json::array();
  for (const common::Finding& finding : aFindings.All()) {
    list.push_back({ { "source", finding.place_.source_ },
                     { "line", finding.place_.line_ },
                     { "path", finding.place_.path_ },
                     { "message", finding.message_ } });
  }
  return list;
}

json ToJson(const std::vector<config::Change>& aChanges)
{
  json list = json::array();
  for (const config::Change& change : aChanges) {
    json entry = { { "resource", change.key_.ToString() },
                   { "change", ChangeKindOf(change) },
                   { "base", change.baseVersion_.Get() } };
    if (change.value_) {
      entry["value"] = config::ToJson(*change.value_);
    }
    list.push_back(std::move(entry));
  }
  return list;
}

json ToJson(const PublishOutcome& aOutcome)
{
  return { { "verdict", NameOf(aOutcome.verdict_) },
           { "version", aOutcome.version_.Get() },
           { "changes", ToJson(aOutcome.changes_) },
           { "conflicts", ToJson(aOutcome.conflicts_) },
           { "findings", ToJson(aOutcome.findings_) } };
}

json ToJson(const config::EvaluatedRecord& aRecord)
{
  const config::PublishRecord& record = aRecord.result_.record_;
  return { { "offset", aRecord.offset_.Get() },
           { "outcome", NameOf(aRecord.result_.outcome_) },
           { "id", record.publishId_.Get() },
           { "operator", record.operator_ },
           { "published_at_ms", record.publishedAtMs_ },
           { "changes", ToJson(record.changes_) },
           { "conflicts", ToJson(aRecord.result_.conflicts_) },
           { "findings", ToJson(aRecord.result_.findings_) } };
}

} // namespace dandelionstand::operators
