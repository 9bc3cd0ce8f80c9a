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

//! Refers to a resource of one Configuration. Only a Configuration creates handles, so a handle
//! never refers to a missing resource.
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

//! Requests that a route matches and how they are handled. All fields are required.
struct RouteSpec
{
  std::string pathPrefix_;
  std::vector<std::string> methods_;
  EndpointsHandle endpoints_;
  Promise promise_;
  config::TrafficClass trafficClass_;
  std::chrono::milliseconds timeout_;
};

//! Builds the document that `dandelionctl publish` accepts from limits, endpoints and routes.
class Configuration
{
public:
  Configuration() = default;
  Configuration(const Configuration&) = delete;
  Configuration& operator=(const Configuration&) = delete;

  LimitsHandle AddLimits(const std::string& aName, const config::Limits& aLimits);
  //! Throws std::invalid_argument if the handle belongs to another Configuration.
  EndpointsHandle AddEndpoints(const std::string& aService, const LimitsHandle& aLimits);
  //! Throws std::invalid_argument if the endpoints handle belongs to another Configuration.
  void AddRoute(const std::string& aName, const RouteSpec& aRoute);

  //! Returns the document. Throws common::FindingsError with all findings of the validator, and one
  //! for each resource that was added twice.
  std::string Write() const;

private:
  void Add(config::ResourceKind aKind,
           const std::string& aName,
           const config::ResourceValue& aValue);
  void CheckOwner(const Configuration* aOwner) const;

  config::ConfigState state_;
  common::Findings duplicates_;
};

//! Prints the document to standard output, or all findings to standard error. Returns the exit
//! status for the program.
int PrintConfiguration(const Configuration& aConfiguration);

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_Configuration_h
