#include "dandelionstand/load/OrderAudit.h"

namespace dandelionstand::load {

namespace {

bool IsRefusedNotRun(const OrderOutcome& aOutcome)
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
  order.isEachNotRun_ = order.isEachNotRun_ && IsRefusedNotRun(aOutcome);
  order.isAnswered_ = order.isAnswered_ || aOutcome.verdict_ == Verdict::kWhole;
}

void OrderAudit::AddRuns(const OrderRuns& aRuns)
{
  runs_[aRuns.idempotencyKey_] += aRuns.runs_;
}

std::uint64_t OrderAudit::RunCount() const
{
  std::uint64_t count = 0;
  for (const auto& [key, order] : orders_) {
    count += RunsOf(key);
  }
  return count;
}

OrderFaults OrderAudit::FindFaults() const
{
  OrderFaults faults;
  for (const auto& [key, order] : orders_) {
    const std::uint64_t runs = RunsOf(key);
    if (runs > 1) {
      faults.ranTwice_.push_back(key);
    }
    if (runs > 0 && order.isEachNotRun_) {
      faults.ranAfterNotRunRefusal_.push_back(key);
    }
    if (runs == 0 && isComplete_ && order.isAnswered_) {
      faults.answeredWithoutRun_.push_back(key);
    }
  }
  return faults;
}

std::uint64_t OrderAudit::RunsOf(const std::string& aKey) const
{
  const auto found = runs_.find(aKey);
  return found == runs_.end() ? 0 : found->second;
}

} // namespace dandelionstand::load
