#include "dandelionstand/daemon/PlatformPolicy.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;

TEST_CASE("Peer addresses take the local peer port and leave out the local instance",
          "[daemon][platform]")
{
  const common::Address self("10.1.0.4:7600");
  const std::vector<common::Address> instances{ common::Address("10.1.0.4:8620"),
                                                common::Address("10.2.0.9:8620") };
  CHECK(daemon::ToPeerAddresses(instances, self) ==
        std::vector<common::Address>{ common::Address("10.2.0.9:7600") });
  CHECK(daemon::ToPeerAddresses({}, self).empty());
}

TEST_CASE("The retry budgets of all live daemons stay below the platform's bounds",
          "[daemon][platform][budget]")
{
  platform::PlatformBounds bounds;
  bounds.retryBudgetRatio_ = 0.2;
  bounds.retryBudgetSlack_ = 56;
  // Checks only the platform's bounds, not the fractions of them that the daemons use.
  const caller::RetryBudgetSettings budget = daemon::PlatformRetryBudget(bounds, 18);
  CHECK(budget.ratio_ < 0.2);
  CHECK(budget.reserve_ * 18 < 56);
  CHECK(daemon::PlatformRetryBudget(bounds, 0).reserve_ < 56);
}