#include "dandelionstand/peer/Convergence.h"

#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

constexpr std::size_t kCollectors = 2;
constexpr common::Duration kRepeat = std::chrono::seconds(15);
constexpr int kLaggingMost = 32;

Members CollectorsOf(const Members& aMembers, const common::FailureDomain& aDomain)
{
  Members collectors = RankedInDomain(aMembers, aDomain);
  collectors.resize(std::min(collectors.size(), kCollectors));
  return collectors;
}

} // namespace

Convergence::Convergence(Member aSelf)
  : self_(std::move(aSelf))
  , members_{ self_ }
{
}

ConvergenceActions Convergence::Tick(common::Version aVersion, common::TimePoint aNow)
{
  const Members collectors = CollectorsOf(members_, self_.failureDomain_);
  // While a fleet starts, better-ranked members become known after the first report.
  std::vector<std::pair<common::InstanceId, common::Incarnation>> collectorIds;
  collectorIds.reserve(collectors.size());
  for (const Member& collector : collectors) {
    collectorIds.emplace_back(collector.instance_, collector.incarnation_);
  }
  if (aVersion == version_ && collectorIds == reportedTo_ && aNow < nextReport_) {
    return {};
  }
  reportedTo_ = std::move(collectorIds);
  version_ = aVersion;
  nextReport_ = aNow + kRepeat;
  reported_[self_.instance_] = aVersion;
  ConvergenceActions actions;
  for (const Member& collector : collectors) {
    if (collector.instance_ != self_.instance_) {
      wire::ConvergenceMessage report;
      report.set_kind(wire::REPORT);
      report.set_version(aVersion.Get());
      actions.push_back({ collector.address_, std::move(report) });
    }
  }
  return actions;
}

ConvergenceActions Convergence::OnMessage(const common::InstanceId& aSender,
                                          const common::Address& aSenderAddress,
                                          const wire::ConvergenceMessage& aMessage)
{
  if (aMessage.kind() == wire::REPORT) {
    common::Version& reported = reported_[aSender];
    reported = std::max(reported, common::Version(aMessage.version()));
    return {};
  }
  if (aMessage.kind() == wire::QUERY) {
    return { { aSenderAddress, Summary() } };
  }
  DomainVersions domain;
  domain.failureDomain_ = common::FailureDomain(aMessage.failure_domain());
  for (const wire::VersionCount& count : aMessage.counts()) {
    domain.membersByVersion_[common::Version(count.version())] = count.members();
    domain.memberCount_ += count.members();
  }
  for (const std::string& instance : aMessage.lagging()) {
    domain.lagging_.emplace_back(instance);
  }
  summaries_[domain.failureDomain_] = std::move(domain);
  return {};
}

ConvergenceActions Convergence::QueryCollectors()
{
  ConvergenceActions actions;
  for (const common::FailureDomain& domain : DomainsOf(members_)) {
    for (const Member& collector : CollectorsOf(members_, domain)) {
      if (collector.instance_ != self_.instance_) {
        wire::ConvergenceMessage query;
        query.set_kind(wire::QUERY);
        actions.push_back({ collector.address_, std::move(query) });
      }
    }
  }
  return actions;
}

std::vector<DomainVersions> Convergence::VersionsByDomain() const
{
  std::vector<DomainVersions> view;
  for (const common::FailureDomain& domain : DomainsOf(members_)) {
    const auto summary = summaries_.find(domain);
    if (domain == self_.failureDomain_ && IsCollector()) {
      view.push_back(OwnDomain());
    } else if (summary != summaries_.end()) {
      view.push_back(summary->second);
    } else {
      DomainVersions unknown;
      unknown.failureDomain_ = domain;
      unknown.memberCount_ = static_cast<std::uint32_t>(RankedInDomain(members_, domain).size());
      view.push_back(unknown);
    }
  }
  return view;
}

bool Convergence::IsCollector() const
{
  const Members collectors = CollectorsOf(members_, self_.failureDomain_);
  return IndexOf(collectors, self_.instance_) < collectors.size();
}

DomainVersions Convergence::OwnDomain() const
{
  DomainVersions domain;
  domain.failureDomain_ = self_.failureDomain_;
  common::Version highest;
  std::vector<std::pair<common::InstanceId, common::Version>> versions;
  for (const Member& member : RankedInDomain(members_, self_.failureDomain_)) {
    const auto reported = reported_.find(member.instance_);
    // A report may come from an earlier incarnation; the daemon itself never goes back.
    const common::Version version = std::max(
      member.configVersion_, reported == reported_.end() ? common::Version() : reported->second);
    versions.emplace_back(member.instance_, version);
    highest = std::max(highest, version);
  }
  for (const auto& [instance, version] : versions) {
    ++domain.memberCount_;
    ++domain.membersByVersion_[version];
    if (version < highest) {
      domain.lagging_.push_back(instance);
    }
  }
  return domain;
}

wire::ConvergenceMessage Convergence::Summary() const
{
  const DomainVersions domain = OwnDomain();
  wire::ConvergenceMessage summary;
  summary.set_kind(wire::SUMMARY);
  summary.set_failure_domain(domain.failureDomain_.Get());
  for (const auto& [version, members] : domain.membersByVersion_) {
    wire::VersionCount* count = summary.add_counts();
    count->set_version(version.Get());
    count->set_members(members);
  }
  for (const common::InstanceId& instance : domain.lagging_) {
    if (summary.lagging_size() < kLaggingMost) {
      summary.add_lagging(instance.Get());
    }
  }
  return summary;
}

} // namespace dandelionstand::peer
