#include "dandelionstand/config/Acceptance.h"

#include "dandelionstand/config/StreamRecord.h"
#include "dandelionstand/config/Validate.h"

#include <optional>

namespace dandelionstand::config {

namespace {

using common::Version;

//! Applies the acceptance rule to one record and one state.
class Acceptor
{
public:
  Acceptor(const ConfigState& aCurrent, common::Offset aOffset, AcceptResult& aResult)
    : state_(aCurrent)
    , version_(aOffset.Get())
    , source_("record " + std::to_string(aOffset.Get()))
    , result_(aResult)
  {
  }

  void Run(const std::string& aData)
  {
    const std::optional<StreamRecord> streamRecord =
      DecodeStreamRecord(aData, source_, result_.findings_);
    if (!streamRecord) {
      result_.outcome_ = AcceptOutcome::kGarbage;
      return;
    }
    if (streamRecord->kind_ == RecordKind::kSnapshot) {
      result_.outcome_ = AcceptOutcome::kSnapshot;
      return;
    }
    result_.record_ = DecodePublishRecord(streamRecord->body_, source_, result_.findings_);
    CheckBuiltOn();
    FindConflicts();
    DecideOutcome();
  }

private:
  void CheckBuiltOn()
  {
    const Version builtOn = result_.record_.builtOn_;
    if (builtOn >= version_) {
      result_.findings_.Add({ source_, 0, "built_on" }, "must be below the record's offset");
    } else if (version_.Get() - builtOn.Get() > kMaxBaseAge) {
      result_.findings_.Add({ source_, 0, "built_on" },
                            "is more than " + std::to_string(kMaxBaseAge) +
                              " offsets below the record");
    }
  }

  void FindConflicts()
  {
    for (const Change& change : result_.record_.changes_) {
      const std::optional<Conflict> conflict = FindConflict(change);
      if (conflict) {
        result_.conflicts_.push_back(*conflict);
      }
    }
  }

  std::optional<Conflict> FindConflict(const Change& aChange)
  {
    const std::optional<Resource> existing = state_.Find(aChange.key_);
    if (existing) {
      const bool isBaseCurrent = existing->version_ == aChange.baseVersion_;
      return isBaseCurrent ? std::nullopt
                           : std::make_optional(Conflict{
                               aChange.key_, aChange.baseVersion_, existing->version_, false });
    }
    if (aChange.baseVersion_ == Version(0) && !aChange.value_) {
      result_.findings_.Add({ source_, 0, aChange.key_.ToString() },
                            "is deleted but does not exist");
      return std::nullopt;
    }
    return FindConflictWithDeletion(aChange);
  }

  std::optional<Conflict> FindConflictWithDeletion(const Change& aChange) const
  {
    const auto tombstone = state_.deleted_.find(aChange.key_);
    const Version deletionVersion =
      tombstone == state_.deleted_.end() ? Version(0) : tombstone->second;
    const bool isDeletionKnown = deletionVersion <= result_.record_.builtOn_;
    if (aChange.baseVersion_ == Version(0) && isDeletionKnown) {
      return std::nullopt;
    }
    return Conflict{ aChange.key_, aChange.baseVersion_, deletionVersion, true };
  }

  void DecideOutcome()
  {
    const ConfigStatePtr next = BuildNextState();
    Validate(*next, MakePlaceLookup(source_), result_.findings_);
    const bool isValid = result_.findings_.IsEmpty();
    AddConflictFindings();
    if (!result_.conflicts_.empty()) {
      result_.outcome_ = AcceptOutcome::kConflict;
    } else if (!isValid) {
      result_.outcome_ = AcceptOutcome::kInvalid;
    } else {
      result_.outcome_ = AcceptOutcome::kAccepted;
      result_.nextState_ = next;
    }
  }

  ConfigStatePtr BuildNextState() const
  {
    auto next = std::make_shared<ConfigState>(state_);
    next->version_ = version_;
    for (const Change& change : result_.record_.changes_) {
      if (change.value_) {
        next->Put({ change.key_, *change.value_, version_ });
      } else {
        next->Erase(change.key_, version_);
      }
    }
    PurgeOldTombstones(*next);
    return next;
  }

  void AddConflictFindings()
  {
    for (const Conflict& conflict : result_.conflicts_) {
      const std::string verb = conflict.isDeleted_ ? "was deleted by version " : "is at version ";
      result_.findings_.Add({ source_, 0, conflict.key_.ToString() },
                            verb + std::to_string(conflict.currentVersion_.Get()) +
                              ", the change was based on version " +
                              std::to_string(conflict.baseVersion_.Get()));
    }
  }

  const ConfigState& state_;
  const Version version_;
  const std::string source_;
  AcceptResult& result_;
};

} // namespace

void PurgeOldTombstones(ConfigState& aState)
{
  std::erase_if(aState.deleted_, [&aState](const auto& aTombstone) {
    return aState.version_.Get() - aTombstone.second.Get() > kMaxBaseAge;
  });
}

AcceptResult Accept(const ConfigState& aCurrent, common::Offset aOffset, const std::string& aRecord)
{
  AcceptResult result;
  if (aOffset.Get() <= aCurrent.version_.Get()) {
    result.outcome_ = AcceptOutcome::kOld;
    return result;
  }
  Acceptor(aCurrent, aOffset, result).Run(aRecord);
  return result;
}

} // namespace dandelionstand::config
