#include "dandelionstand/load/OrderAudit.h"

#include <utility>

namespace dandelionstand::load {

namespace {

bool IsRefusedNotRun(const OrderOutcome& aOutcome)
{
  return aOutcome.verdict_ == Verdict::kRefused && aOutcome.runState_ == RunState::kNotRun;
}

} // namespace

bool OrderFaults::IsEmpty() const
{
  return ranTwice_.empty() && ranThoughNotRun_.empty() && answeredWithoutRun_.empty();
}

void OrderAudit::AddOutcome(OrderOutcome aOutcome)
{
  outcomes_.push_back(std::move(aOutcome));
}

void OrderAudit::AddRuns(const OrderRuns& aRuns)
{
  runs_[aRuns.idempotencyKey_] += aRuns.runs_;
}

std::uint64_t OrderAudit::RunCount() const
{
  std::uint64_t count = 0;
  for (const OrderOutcome& outcome : outcomes_) {
    count += RunsOf(outcome.idempotencyKey_);
  }
  return count;
}

OrderFaults OrderAudit::FindFaults() const
{
  OrderFaults faults;
  for (const OrderOutcome& outcome : outcomes_) {
    const std::uint64_t runs = RunsOf(outcome.idempotencyKey_);
    if (runs > 1) {
      faults.ranTwice_.push_back(outcome.idempotencyKey_);
    }
    if (runs > 0 && IsRefusedNotRun(outcome)) {
      faults.ranThoughNotRun_.push_back(outcome.idempotencyKey_);
    }
    if (runs == 0 && isComplete_ && outcome.verdict_ == Verdict::kWhole) {
      faults.answeredWithoutRun_.push_back(outcome.idempotencyKey_);
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
