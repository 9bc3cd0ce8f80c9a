#include "dandelionstand/daemon/RecordConfigSource.h"

#include <utility>

namespace dandelionstand::daemon {

RecordConfigSource::RecordConfigSource(common::EventLoop& aLoop,
                                       common::Counters& aCounters,
                                       peer::ControlSender& aSender,
                                       peer::Transport& aTransport,
                                       platform::Log& aLog,
                                       const peer::Member& aSelf,
                                       const peer::SpreadingSettings& aSettings)
  : spreading_(aLoop, aCounters, aSender, aTransport, aLog, aSelf, aSettings)
{
  spreading_.VersionChanged().connect(VersionChanged().make_slot());
}

void RecordConfigSource::SetMembers(const peer::Members& aMembers, bool aHasJoined)
{
  spreading_.SetMembers(aMembers, aHasJoined);
}

nlohmann::json RecordConfigSource::Status()
{
  nlohmann::json domains = nlohmann::json::object();
  for (const peer::DomainVersions& domain : spreading_.QueryVersions()) {
    nlohmann::json membersByVersion = nlohmann::json::object();
    for (const auto& [version, members] : domain.membersByVersion_) {
      membersByVersion[std::to_string(version.Get())] = members;
    }
    nlohmann::json lagging = nlohmann::json::array();
    for (const common::InstanceId& instance : domain.lagging_) {
      lagging.push_back(instance.Get());
    }
    domains[domain.failureDomain_.Get()] = { { "members", domain.memberCount_ },
                                             { "in_force", std::move(membersByVersion) },
                                             { "lagging", std::move(lagging) } };
  }
  const config::ConfigStatePtr state = spreading_.ActiveConfig();
  const peer::VersionFloor::Decision decision = spreading_.MayServe();
  return { { "version", state ? state->version_.Get() : 0 },
           { "serves", decision.mayServe_ },
           { "reason", peer::ToText(decision.reason_) },
           { "reads_log", spreading_.State().IsReader() },
           { "failure_domains", std::move(domains) } };
}

nlohmann::json RecordConfigSource::DumpRoles() const
{
  return { { "reads_log", spreading_.State().IsReader() } };
}

} // namespace dandelionstand::daemon
