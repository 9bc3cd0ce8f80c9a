#include "dandelionstand/daemon/PlatformPolicy.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;

TEST_CASE("Daemons of other machines are found at the port of the own one", "[daemon][platform]")
{
  const common::Address own("10.1.0.4:7600");
  const std::vector<common::Address> machines{ common::Address("10.1.0.4:8620"),
                                               common::Address("10.2.0.9:8620") };
  CHECK(daemon::PeersAt(machines, own) ==
        std::vector<common::Address>{ common::Address("10.2.0.9:7600") });
  CHECK(daemon::PeersAt({}, own).empty());
}

TEST_CASE("The retry budget is shared by the daemons that live", "[daemon][platform][budget]")
{
  platform::PlatformBounds bounds;
  bounds.retryBudgetRatio_ = 0.2;
  bounds.retryBudgetSlack_ = 56;
  // Together the daemons stay below the platform's bound, whatever part of it each one uses.
  const caller::RetryBudgetSettings budget = daemon::PlatformRetryBudget(bounds, 18);
  CHECK(budget.ratio_ < 0.2);
  CHECK(budget.reserve_ * 18 < 56);
  CHECK(daemon::PlatformRetryBudget(bounds, 0).reserve_ < 56);
}
