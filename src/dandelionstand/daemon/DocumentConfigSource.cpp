#include "dandelionstand/daemon/DocumentConfigSource.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/platform/ConfigDocument.h"

#include <sigc++/functors/mem_fun.h>

#include <utility>

namespace dandelionstand::daemon {

DocumentConfigSource::DocumentConfigSource(common::EventLoop& aLoop,
                                           common::Counters& aCounters,
                                           peer::ControlSender& aSender,
                                           peer::Transport& aTransport,
                                           platform::Log& aLog,
                                           const peer::Member& aSelf,
                                           const peer::DocumentReadersSettings& aSettings)
  : counters_(aCounters)
  , documentTask_(aLoop,
                  aSender,
                  aTransport,
                  peer::DocumentReaders(aSelf, aSettings, common::Now(), aSelf.incarnation_.Get()))
  , feed_(aLoop,
          aLog,
          aSelf.incarnation_.Get(),
          aSettings.pollWait_,
          { [this](const std::string& aText) { OnDocument(aText, Origin::kStore); },
            [this](common::Offset aNextOffset, common::TimePoint aStartedAt) {
              OnStoreAnswer(aNextOffset, aStartedAt);
            } })
{
  documentTask_.Received().connect(
    [this](const std::string& aText) { OnDocument(aText, Origin::kPeer); });
  documentTask_.ReaderUpdated().connect(
    sigc::mem_fun(*this, &DocumentConfigSource::OnReaderUpdated));
  feed_.Start();
}

void DocumentConfigSource::SetMembers(const peer::Members& aMembers, bool)
{
  members_ = aMembers;
  documentTask_.SetMembers(aMembers);
}

void DocumentConfigSource::OnStoreAnswer(common::Offset aNextOffset, common::TimePoint aStartedAt)
{
  if (state_ && !isNewestRefused_) {
    documentTask_.OnStoreAnswer(aNextOffset);
    storeRead_.emit(aStartedAt);
  }
}

void DocumentConfigSource::OnReaderUpdated(bool aIsReader, common::Offset aNextOffset)
{
  feed_.SkipTo(aNextOffset);
  // Without a configuration this daemon cannot serve, so it does not wait for a peer.
  feed_.SetPolling(aIsReader || !state_);
}

void DocumentConfigSource::OnDocument(const std::string& aText, Origin aOrigin)
{
  const char* originText = aOrigin == Origin::kStore ? "store" : "peer";
  common::Findings findings;
  config::ConfigStatePtr state = platform::DecodeConfigDocument(aText, findings);
  if (aOrigin == Origin::kStore) {
    isNewestRefused_ = state == nullptr;
  }
  if (!state) {
    counters_.Add("config_documents_refused_total");
    common::LogEvent(common::Severity::kError,
                     "config_refused",
                     { { "origin", originText }, { "findings", findings.ToString() } });
    return;
  }
  if (state_ && state->version_ <= state_->version_) {
    return; // Not newer: a peer's copy, or the newest record was read again.
  }
  state_ = std::move(state);
  counters_.Set("config_version", state_->version_.Get());
  common::LogEvent(common::Severity::kInfo,
                   "config_in_force",
                   { { "version", state_->version_.Get() },
                     { "origin", originText },
                     { "routes", state_->routes_.size() } });
  documentTask_.SetDocument(state_->version_, aText);
  VersionChanged().emit(state_->version_);
}

nlohmann::json DocumentConfigSource::Status()
{
  std::map<std::string, std::map<std::string, std::size_t>> memberCounts;
  for (const peer::Member& member : members_) {
    if (member.IsLive()) {
      ++memberCounts[member.failureDomain_.Get()][std::to_string(member.configVersion_.Get())];
    }
  }
  return { { "version", state_ ? state_->version_.Get() : 0 },
           { "serves", state_ != nullptr },
           { "failure_domains", memberCounts } };
}

nlohmann::json DocumentConfigSource::DumpRoles() const
{
  const peer::DocumentReaders& readers = documentTask_.Readers();
  return { { "store_answered_us_ago", feed_.TimeSinceLastAnswer().count() },
           { "is_ranked_reader", readers.IsRankedReader() },
           { "confirmed_us_ago", readers.ConfirmationAge(common::Now()).count() } };
}

} // namespace dandelionstand::daemon
