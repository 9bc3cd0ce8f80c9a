#include "dandelionstand/load/ExperimentConfig.h"

namespace dandelionstand::load {

namespace {

using config::Route;

constexpr common::Duration kReadTimeout = std::chrono::seconds(2);
constexpr common::Duration kOrderTimeout = std::chrono::seconds(10);
constexpr std::uint64_t kDistinctTimeouts = 1000;
constexpr std::uint64_t kAnswerBytes = 1024;
constexpr std::uint32_t kPercent = 100;

Route MakeReadRoute(const std::string& aService, const std::string& aPrefix)
{
  Route route;
  route.pathPrefix_ = aPrefix;
  route.methods_ = { "GET" };
  route.endpoints_ = common::ServiceName(aService);
  route.idempotency_ = config::Idempotency::kIdempotent;
  route.trafficClass_ = config::TrafficClass::kLookup;
  route.timeout_ = kReadTimeout;
  return route;
}

Route MakeOrderRoute(const std::string& aService)
{
  Route route = MakeReadRoute(aService, "/" + aService);
  route.methods_ = { "POST" };
  route.idempotency_ = config::Idempotency::kKeyed;
  route.trafficClass_ = config::TrafficClass::kOrder;
  route.timeout_ = kOrderTimeout;
  return route;
}

std::vector<Route> MakeRoutes(const std::string& aService, std::uint32_t aCount)
{
  std::vector<Route> routes = { MakeReadRoute(aService, "/" + aService), MakeOrderRoute(aService) };
  while (routes.size() < aCount) {
    const std::string number = std::to_string(routes.size());
    routes.push_back(MakeReadRoute(aService, "/" + aService + "/part-" + number));
  }
  return routes;
}

void AddService(config::ConfigState& aState, const std::string& aService, std::uint32_t aRouteCount)
{
  const config::LimitsName limits(aService);
  aState.limits_[limits].value_ = { 18, 110, 36, 10 };
  aState.endpoints_[common::ServiceName(aService)].value_ = { limits };
  std::size_t number = 0;
  for (const Route& route : MakeRoutes(aService, aRouteCount)) {
    aState.routes_[config::RouteName(aService + "-" + std::to_string(++number))].value_ = route;
  }
}

} // namespace

config::ConfigState MakeConfig(const ExperimentConfig& aConfig)
{
  config::ConfigState state;
  for (const std::string& service : aConfig.services_) {
    AddService(state, service, aConfig.routesPerService_);
  }
  // Each revision changes the timeout of the next route. The added time differs between revisions,
  // so that a route does not get the same value again when its turn returns.
  auto changedRoute = state.routes_.begin();
  std::advance(changedRoute, static_cast<std::ptrdiff_t>(aConfig.revision_ % state.routes_.size()));
  changedRoute->second.value_.timeout_ +=
    std::chrono::milliseconds(1 + aConfig.revision_ % kDistinctTimeouts);
  return state;
}

std::vector<CallClass> MakeCallClasses(const std::vector<std::string>& aServices,
                                       std::uint32_t aOrderPercent)
{
  std::vector<CallClass> classes;
  for (const std::string& service : aServices) {
    classes.push_back({ config::TrafficClass::kLookup,
                        "GET",
                        "/" + service,
                        kPercent - aOrderPercent,
                        false,
                        kAnswerBytes });
    classes.push_back(
      { config::TrafficClass::kOrder, "POST", "/" + service, aOrderPercent, true, 0 });
  }
  return classes;
}

} // namespace dandelionstand::load
