#ifndef dandelionstand_caller_ServicePolicies_h
#define dandelionstand_caller_ServicePolicies_h

#include "dandelionstand/caller/EndpointPicker.h"
#include "dandelionstand/caller/RetryBudget.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/config/Resources.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace dandelionstand::caller {

//! What a daemon keeps about one service that it calls.
struct ServicePolicy
{
  EndpointPicker picker_;
  RetryBudget budget_;
  common::TimePoint refreshedAt_;
};

//! The policies of all services, brought up to date with membership and limits on use.
class ServicePolicies
{
public:
  ServicePolicies(const peer::EndpointDirectory& aDirectory,
                  PickerSettings aSettings,
                  std::uint64_t aSeed);

  //! Replaces the budgets that come from each service's limits.
  void SetRetryBudget(const RetryBudgetSettings& aSettings) { retryBudget_ = aSettings; }

  ServicePolicy& For(const common::ServiceName& aService,
                     const config::Limits& aLimits,
                     common::TimePoint aNow);

  //! Retries that are left at present, by service.
  std::map<common::ServiceName, std::uint64_t> RetriesRemaining(common::TimePoint aNow) const;

private:
  RetryBudgetSettings BudgetOf(const config::Limits& aLimits) const;

  const peer::EndpointDirectory& directory_;
  PickerSettings settings_;
  std::uint64_t seed_;
  std::optional<RetryBudgetSettings> retryBudget_;
  //! Calls hold references to the policies.
  std::map<common::ServiceName, std::unique_ptr<ServicePolicy>> policies_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_ServicePolicies_h
