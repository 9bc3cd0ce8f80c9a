#include "dandelionstand/operators/FleetStatus.h"

#include "dandelionstand/common/JsonReader.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <sstream>

namespace dandelionstand::operators {

namespace {

using common::Version;

constexpr common::Range kAnyNumber{ 0, std::numeric_limits<std::uint64_t>::max() };
constexpr const char* kSource = "status";

bool ParseVersion(const std::string& aText, Version& aVersion)
{
  std::uint64_t number = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  aVersion = Version(number);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

DomainStatus ReadDomain(const std::string& aName, common::JsonReader aReader)
{
  DomainStatus domain;
  domain.name_ = common::FailureDomain(aName);
  domain.members_ = aReader.RequiredNumber("members", kAnyNumber);
  common::JsonReader versionCounts = aReader.Object("in_force");
  for (const std::string& key : versionCounts.Keys()) {
    Version version;
    if (ParseVersion(key, version)) {
      domain.membersByVersion_[version] = versionCounts.Number(key, 0, kAnyNumber);
    } else {
      versionCounts.AddFinding(key, "must be a version number");
    }
  }
  for (const std::string& instance : aReader.Strings("lagging")) {
    domain.lagging_.emplace_back(instance);
  }
  return domain;
}

std::string FormatVersions(const DomainStatus& aDomain)
{
  std::string text;
  for (const auto& [version, count] : aDomain.membersByVersion_) {
    text += (text.empty() ? "" : " ") + std::to_string(version.Get()) + ":" + std::to_string(count);
  }
  return text.empty() ? "-" : text;
}

} // namespace

std::uint64_t FleetStatus::CountMembersAtOrAbove(Version aVersion) const
{
  std::uint64_t count = 0;
  for (const DomainStatus& domain : domains_) {
    for (const auto& [version, members] : domain.membersByVersion_) {
      count += version >= aVersion ? members : 0;
    }
  }
  return count;
}

std::uint64_t FleetStatus::CountMembers() const
{
  std::uint64_t count = 0;
  for (const DomainStatus& domain : domains_) {
    count += domain.members_;
  }
  return count;
}

bool FleetStatus::IsActiveEverywhere(Version aVersion) const
{
  return version_ >= aVersion && CountMembersAtOrAbove(aVersion) >= CountMembers();
}

FleetStatus ParseFleetStatus(const std::string& aText, common::Findings& aFindings)
{
  const common::LocatedJson document = common::ParseLocatedJson(aText, kSource, aFindings);
  FleetStatus status;
  common::JsonReader reader(document, "", aFindings);
  status.version_ = Version(reader.RequiredNumber("version", kAnyNumber));
  common::JsonReader domains = reader.Object("failure_domains");
  for (const std::string& name : domains.Keys()) {
    status.domains_.push_back(ReadDomain(name, domains.Object(name)));
  }
  return status;
}

std::string ToText(const FleetStatus& aStatus)
{
  std::ostringstream text;
  text << "version " << aStatus.version_.Get() << " in force on the daemon that was asked\n";
  for (const DomainStatus& domain : aStatus.domains_) {
    text << domain.name_.Get() << ": " << domain.members_ << " members, versions "
         << FormatVersions(domain) << "\n";
    for (const common::InstanceId& instance : domain.lagging_) {
      text << "  lagging: " << instance.Get() << "\n";
    }
  }
  return text.str();
}

} // namespace dandelionstand::operators
