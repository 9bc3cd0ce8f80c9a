#include "dandelionstand/caller/ServicePolicies.h"

#include <algorithm>

namespace dandelionstand::caller {

namespace {

//! Interval between updates of a policy that has endpoints while the members do not change.
constexpr common::Duration kRefreshInterval = std::chrono::milliseconds(20);
constexpr double kPercent = 100.0;

} // namespace

ServicePolicies::ServicePolicies(const peer::EndpointDirectory& aDirectory,
                                 PickerSettings aSettings,
                                 std::uint64_t aSeed)
  : directory_(aDirectory)
  , settings_(std::move(aSettings))
  , seed_(aSeed)
{
}

RetryBudgetSettings ServicePolicies::BudgetOf(const config::Limits& aLimits) const
{
  if (retryBudget_) {
    return *retryBudget_;
  }
  RetryBudgetSettings settings;
  settings.ratio_ = aLimits.retryBudgetPercent_ / kPercent;
  return settings;
}

std::map<common::ServiceName, std::uint64_t> ServicePolicies::RetriesRemaining(
  common::TimePoint aNow) const
{
  std::map<common::ServiceName, std::uint64_t> remaining;
  for (const auto& [service, policy] : policies_) {
    remaining[service] = static_cast<std::uint64_t>(std::max(0.0, policy->budget_.Remaining(aNow)));
  }
  return remaining;
}

void ServicePolicies::MarkEndpointsChanged()
{
  for (auto& [service, policy] : policies_) {
    policy->refreshedAt_ = common::TimePoint();
  }
}

ServicePolicy& ServicePolicies::PolicyOf(const common::ServiceName& aService,
                                         const config::Limits& aLimits,
                                         common::TimePoint aNow)
{
  std::unique_ptr<ServicePolicy>& policy = policies_[aService];
  if (!policy) {
    policy.reset(new ServicePolicy{
      EndpointPicker(settings_, seed_ + policies_.size()), RetryBudget(BudgetOf(aLimits)), {} });
  }
  if (policy->picker_.Size() == 0 || aNow - policy->refreshedAt_ >= kRefreshInterval) {
    policy->picker_.SetEndpoints(directory_.EndpointsOf(aService), aNow);
    policy->picker_.SetSlots(aLimits.slots_);
    policy->budget_.SetSettings(BudgetOf(aLimits));
    policy->refreshedAt_ = aNow;
  }
  return *policy;
}

} // namespace dandelionstand::caller
