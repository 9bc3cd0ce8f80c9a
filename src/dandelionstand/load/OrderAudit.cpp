#include "dandelionstand/load/OrderAudit.h"

namespace dandelionstand::load {

namespace {

bool IsNotRunRefusal(const OrderOutcome& aOutcome)
{
  return aOutcome.verdict_ == Verdict::kRefused && aOutcome.runState_ == RunState::kNotRun;
}

} // namespace

bool OrderFaults::IsEmpty() const
{
  return ranTwice_.empty() && ranAfterNotRunRefusal_.empty() && answeredWithoutRun_.empty();
}

void OrderAudit::AddOutcome(const OrderOutcome& aOutcome)
{
  Order& order = orders_[aOutcome.idempotencyKey_];
  order.hasOnlyNotRunRefusals_ = order.hasOnlyNotRunRefusals_ && IsNotRunRefusal(aOutcome);
  order.hasCompleteAnswer_ = order.hasCompleteAnswer_ || aOutcome.verdict_ == Verdict::kWhole;
}

void OrderAudit::AddRuns(const OrderRuns& aRuns)
{
  runCounts_[aRuns.idempotencyKey_] += aRuns.runs_;
}

std::uint64_t OrderAudit::RunCount() const
{
  std::uint64_t count = 0;
  for (const auto& [key, order] : orders_) {
    count += RunCountOf(key);
  }
  return count;
}

OrderFaults OrderAudit::FindFaults() const
{
  OrderFaults faults;
  for (const auto& [key, order] : orders_) {
    const std::uint64_t runs = RunCountOf(key);
    if (runs > 1) {
      faults.ranTwice_.push_back(key);
    }
    if (runs > 0 && order.hasOnlyNotRunRefusals_) {
      faults.ranAfterNotRunRefusal_.push_back(key);
    }
    if (runs == 0 && isComplete_ && order.hasCompleteAnswer_) {
      faults.answeredWithoutRun_.push_back(key);
    }
  }
  return faults;
}

std::uint64_t OrderAudit::RunCountOf(const std::string& aKey) const
{
  const auto found = runCounts_.find(aKey);
  return found == runCounts_.end() ? 0 : found->second;
}

} // namespace dandelionstand::load
