#ifndef dandelionstand_operators_Configuration_h
#define dandelionstand_operators_Configuration_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/operators/Promise.h"

#include <chrono>
#include <string>
#include <vector>

namespace dandelionstand::operators {

class Configuration;

//! Refers to a resource of one configuration. Only that configuration makes handles, so a handle
//! never names a resource that is missing.
template<typename Name>
class Handle
{
private:
  friend class Configuration;

  Handle(const Configuration* aOwner, Name aName)
    : owner_(aOwner)
    , name_(std::move(aName))
  {
  }

  const Configuration* owner_;
  Name name_;
};

using LimitsHandle = Handle<config::LimitsName>;
using EndpointsHandle = Handle<common::ServiceName>;

//! Which requests a route takes and what is promised for them. Every field is to be given.
struct RouteSpec
{
  std::string pathPrefix_;
  std::vector<std::string> methods_;
  EndpointsHandle endpoints_;
  Promise promise_;
  config::TrafficClass trafficClass_;
  std::chrono::milliseconds timeout_;
};

//! Collects limits, endpoints and routes, and prints the document that `dandelionctl` publishes.
class Configuration
{
public:
  Configuration() = default;
  Configuration(const Configuration&) = delete;
  Configuration& operator=(const Configuration&) = delete;

  LimitsHandle AddLimits(const std::string& aName, const config::Limits& aLimits);
  //! Throws std::invalid_argument if the handle is of another configuration.
  EndpointsHandle AddEndpoints(const std::string& aService, const LimitsHandle& aLimits);
  //! Throws std::invalid_argument if the handle in the specification is of another configuration.
  void AddRoute(const std::string& aName, const RouteSpec& aRoute);

  //! The document. Throws common::FindingsError with everything that the validator finds.
  std::string Write() const;

private:
  void Add(config::ResourceKind aKind,
           const std::string& aName,
           const config::ResourceValue& aValue);
  void CheckOwner(const Configuration* aOwner) const;

  config::ConfigState state_;
  common::Findings duplicates_;
};

//! Prints the document to standard output, or every finding to standard error. Returns the exit
//! status of the program.
int PrintConfiguration(const Configuration& aConfiguration);

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_Configuration_h
