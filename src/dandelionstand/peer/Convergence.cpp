#include "dandelionstand/peer/Convergence.h"

#include "dandelionstand/peer/Rank.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::peer {

namespace {

constexpr std::size_t kCollectorsPerDomain = 2;
constexpr common::Duration kReportInterval = std::chrono::seconds(15);
constexpr int kMaxListedLagging = 32;

Members CollectorsOf(const Members& aMembers, const common::FailureDomain& aDomain)
{
  Members collectors = RankedInDomain(aMembers, aDomain);
  collectors.resize(std::min(collectors.size(), kCollectorsPerDomain));
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
  // A change of the collectors is followed by a new report: while a fleet starts, better-ranked
  // members may become known only after the first one.
  std::vector<std::pair<common::InstanceId, common::Incarnation>> collectorIds;
  collectorIds.reserve(collectors.size());
  for (const Member& collector : collectors) {
    collectorIds.emplace_back(collector.instance_, collector.incarnation_);
  }
  if (aVersion == lastReportedVersion_ && collectorIds == lastCollectors_ && aNow < nextReport_) {
    return {};
  }
  lastCollectors_ = std::move(collectorIds);
  lastReportedVersion_ = aVersion;
  nextReport_ = aNow + kReportInterval;
  reportedVersions_[self_.instance_] = aVersion;
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
    common::Version& reported = reportedVersions_[aSender];
    reported = std::max(reported, common::Version(aMessage.version()));
    return {};
  }
  if (aMessage.kind() == wire::QUERY) {
    return { { aSenderAddress, SummaryMessage() } };
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
  std::vector<DomainVersions> domains;
  for (const common::FailureDomain& domain : DomainsOf(members_)) {
    const auto summary = summaries_.find(domain);
    if (domain == self_.failureDomain_ && IsCollector()) {
      domains.push_back(LocalDomain());
    } else if (summary != summaries_.end()) {
      domains.push_back(summary->second);
    } else {
      DomainVersions unknownDomain;
      unknownDomain.failureDomain_ = domain;
      unknownDomain.memberCount_ =
        static_cast<std::uint32_t>(RankedInDomain(members_, domain).size());
      domains.push_back(unknownDomain);
    }
  }
  return domains;
}

bool Convergence::IsCollector() const
{
  const Members collectors = CollectorsOf(members_, self_.failureDomain_);
  return IndexOf(collectors, self_.instance_) < collectors.size();
}

DomainVersions Convergence::LocalDomain() const
{
  DomainVersions domain;
  domain.failureDomain_ = self_.failureDomain_;
  common::Version highest;
  std::vector<std::pair<common::InstanceId, common::Version>> versions;
  for (const Member& member : RankedInDomain(members_, self_.failureDomain_)) {
    const auto reported = reportedVersions_.find(member.instance_);
    // The report may be from an earlier incarnation. A daemon's version never decreases, so the
    // higher one is valid.
    const common::Version version =
      std::max(member.configVersion_,
               reported == reportedVersions_.end() ? common::Version() : reported->second);
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

wire::ConvergenceMessage Convergence::SummaryMessage() const
{
  const DomainVersions domain = LocalDomain();
  wire::ConvergenceMessage summary;
  summary.set_kind(wire::SUMMARY);
  summary.set_failure_domain(domain.failureDomain_.Get());
  for (const auto& [version, members] : domain.membersByVersion_) {
    wire::VersionCount* count = summary.add_counts();
    count->set_version(version.Get());
    count->set_members(members);
  }
  for (const common::InstanceId& instance : domain.lagging_) {
    if (summary.lagging_size() < kMaxListedLagging) {
      summary.add_lagging(instance.Get());
    }
  }
  return summary;
}

} // namespace dandelionstand::peer
