#include "dandelionstand/caller/ServicePolicies.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace dandelionstand::caller;
using namespace std::chrono_literals;

namespace {

constexpr common::TimePoint kStart{ 1h };
const common::ServiceName kShop("shop");

class FakeDirectory : public peer::EndpointDirectory
{
public:
  std::vector<Endpoint> EndpointsOf(const common::ServiceName&) const override
  {
    return endpoints_;
  }

  std::vector<Endpoint> endpoints_;
};

Endpoint MakeEndpoint(const std::string& aName)
{
  return { common::InstanceId(aName), common::Incarnation(1), common::Address(aName), {}, {} };
}

} // namespace

TEST_CASE("No call goes to an endpoint whose withdrawal is known", "[caller][policies]")
{
  FakeDirectory directory;
  directory.endpoints_ = { MakeEndpoint("own"), MakeEndpoint("other") };
  ServicePolicies policies(directory, {}, 1);
  REQUIRE(policies.PolicyOf(kShop, {}, kStart).picker_.Size() == 2);
  directory.endpoints_ = { MakeEndpoint("other") };
  policies.MarkEndpointsChanged();
  EndpointPicker& picker = policies.PolicyOf(kShop, {}, kStart + 1ms).picker_;
  REQUIRE(picker.Size() == 1);
  CHECK(picker.Pick({}, config::RouteName("browse"), kStart + 1ms) == MakeEndpoint("other"));
}
