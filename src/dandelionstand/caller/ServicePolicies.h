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

//! State of a daemon's calls to one service: endpoint selection and retry budget.
struct ServicePolicy
{
  EndpointPicker picker_;
  RetryBudget budget_;
  common::TimePoint refreshedAt_;
};

//! The policies of all called services. PolicyOf() updates them from membership and limits.
class ServicePolicies
{
public:
  ServicePolicies(const peer::EndpointDirectory& aDirectory,
                  PickerSettings aSettings,
                  std::uint64_t aSeed);

  //! Overrides the retry budgets that the limits of the services configure.
  void SetRetryBudget(const RetryBudgetSettings& aSettings) { retryBudget_ = aSettings; }

  ServicePolicy& PolicyOf(const common::ServiceName& aService,
                          const config::Limits& aLimits,
                          common::TimePoint aNow);

  //! The members changed: the endpoints of each service are looked up again before the next call,
  //! so that no call goes to an endpoint that was withdrawn.
  void MarkEndpointsChanged();

  //! Number of retries that each service's budget allows at present.
  std::map<common::ServiceName, std::uint64_t> RetriesRemaining(common::TimePoint aNow) const;

private:
  RetryBudgetSettings BudgetOf(const config::Limits& aLimits) const;

  const peer::EndpointDirectory& directory_;
  PickerSettings settings_;
  std::uint64_t seed_;
  std::optional<RetryBudgetSettings> retryBudget_;
  //! Pointers, since calls hold references to the policies.
  std::map<common::ServiceName, std::unique_ptr<ServicePolicy>> policies_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_ServicePolicies_h
