#include "dandelionstand/operators/Configuration.h"

#include "dandelionstand/config/Document.h"
#include "dandelionstand/operators/ExitStatus.h"

#include <iostream>
#include <stdexcept>

namespace dandelionstand::operators {

namespace {

constexpr const char* kSource = "configuration";

} // namespace

LimitsHandle Configuration::AddLimits(const std::string& aName, const config::Limits& aLimits)
{
  Add(config::ResourceKind::kLimits, aName, aLimits);
  return { this, config::LimitsName(aName) };
}

EndpointsHandle Configuration::AddEndpoints(const std::string& aService,
                                            const LimitsHandle& aLimits)
{
  CheckOwner(aLimits.owner_);
  Add(config::ResourceKind::kEndpoints, aService, config::Endpoints{ aLimits.name_ });
  return { this, common::ServiceName(aService) };
}

void Configuration::AddRoute(const std::string& aName, const RouteSpec& aRoute)
{
  CheckOwner(aRoute.endpoints_.owner_);
  const config::Route route{ aRoute.pathPrefix_,        aRoute.methods_,
                             aRoute.endpoints_.name_,   aRoute.promise_.GetIdempotency(),
                             aRoute.trafficClass_,      aRoute.timeout_,
                             aRoute.promise_.Attempts() };
  Add(config::ResourceKind::kRoute, aName, route);
}

std::string Configuration::Write() const
{
  common::Findings findings = duplicates_;
  std::string document = config::WriteDocument(state_);
  config::ParseDocument(document, kSource, findings);
  if (!findings.IsEmpty()) {
    throw common::FindingsError(findings);
  }
  return document;
}

void Configuration::Add(config::ResourceKind aKind,
                        const std::string& aName,
                        const config::ResourceValue& aValue)
{
  const config::ResourceKey key{ aKind, aName };
  if (state_.Find(key)) {
    duplicates_.Add({ kSource, 0, key.ToString() }, "is added twice");
  }
  state_.Put({ key, aValue, common::Version(0) });
}

void Configuration::CheckOwner(const Configuration* aOwner) const
{
  if (aOwner != this) {
    throw std::invalid_argument("the handle belongs to another configuration");
  }
}

int PrintConfiguration(const Configuration& aConfiguration)
{
  try {
    std::cout << aConfiguration.Write() << std::flush;
  } catch (const common::FindingsError& error) {
    std::cerr << error.what();
    return static_cast<int>(ExitStatus::kInvalid);
  }
  return static_cast<int>(std::cout.good() ? ExitStatus::kOk : ExitStatus::kFailed);
}

} // namespace dandelionstand::operators
