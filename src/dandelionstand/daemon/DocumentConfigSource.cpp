#include "dandelionstand/daemon/DocumentConfigSource.h"

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/platform/ConfigDocument.h"

#include <utility>

namespace dandelionstand::daemon {

DocumentConfigSource::DocumentConfigSource(common::EventLoop& aLoop,
                                           common::Counters& aCounters,
                                           peer::ControlSender& aSender,
                                           peer::Transport& aTransport,
                                           platform::Log& aLog,
                                           std::uint64_t aSeed)
  : counters_(aCounters)
  , documentTask_(aLoop, aSender, aTransport)
  , feed_(aLoop, aLog, aSeed, [this](const std::string& aText) { OnDocument(aText, "store"); })
{
  documentTask_.Received().connect([this](const std::string& aText) { OnDocument(aText, "peer"); });
  feed_.Start();
}

void DocumentConfigSource::SetMembers(const peer::Members& aMembers, bool)
{
  members_ = aMembers;
}

void DocumentConfigSource::OnDocument(const std::string& aText, const char* aOrigin)
{
  common::Findings findings;
  config::ConfigStatePtr state = platform::DecodeConfigDocument(aText, findings);
  if (!state) {
    counters_.Add("config_documents_refused_total");
    common::LogEvent(common::Severity::kError,
                     "config_refused",
                     { { "origin", aOrigin }, { "findings", findings.ToString() } });
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
                     { "origin", aOrigin },
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
  return { { "store_answered_us_ago", feed_.TimeSinceLastAnswer().count() } };
}

} // namespace dandelionstand::daemon
