#include "dandelionstand/daemon/StateDump.h"

#include "dandelionstand/config/Document.h"
#include "dandelionstand/organisations/OrganisationTable.h"

namespace dandelionstand::daemon {

namespace {

nlohmann::json DumpOrganisations(const organisations::OrganisationTable& aTable)
{
  nlohmann::json list = nlohmann::json::array();
  for (const organisations::Organisation& organisation : aTable.All()) {
    nlohmann::json entry{ { "name", organisation.name_.Get() },
                          { "rate_per_s", organisation.ratePerSecond_ },
                          { "burst", organisation.burst_ },
                          { "key_digests", aTable.ShortDigestsOf(organisation) } };
    if (organisation.priority_) {
      entry["priority"] = *organisation.priority_;
    }
    list.push_back(std::move(entry));
  }
  return list;
}

} // namespace

nlohmann::json DumpConfig(const config::ConfigStatePtr& aState)
{
  nlohmann::json dump{ { "version", aState ? aState->version_.Get() : 0 },
                       { "routes", aState ? aState->routes_.size() : 0 } };
  if (aState) {
    dump["document"] = nlohmann::json::parse(config::WriteDocument(*aState));
  }
  if (aState && aState->organisations_) {
    dump["organisations"] = DumpOrganisations(*aState->organisations_);
  }
  return dump;
}

nlohmann::json DumpMembers(const peer::Members& aMembers)
{
  nlohmann::json members = nlohmann::json::array();
  for (const peer::Member& member : aMembers) {
    members.push_back({ { "instance", member.instance_.Get() },
                        { "incarnation", member.incarnation_.Get() },
                        { "address", member.address_.Get() },
                        { "failure_domain", member.failureDomain_.Get() },
                        { "region", member.region_.Get() },
                        { "state", peer::ToText(member.status_) },
                        { "service", member.service_.Get() },
                        { "config_version", member.configVersion_.Get() } });
  }
  return members;
}

} // namespace dandelionstand::daemon
