#include "dandelionstand/load/Tally.h"

namespace dandelionstand::load {

std::string ToString(CallPath aCallPath)
{
  return aCallPath == CallPath::kMesh ? "mesh" : "direct";
}

std::uint64_t ClassTally::CountOf(Verdict aVerdict) const
{
  return verdicts_[static_cast<std::size_t>(aVerdict)];
}

void Tally::Add(const CallResult& aResult)
{
  ClassTally& tally = classes_[aResult.key_];
  tally.calls_ += 1;
  tally.attempts_ += aResult.attempts_;
  tally.verdicts_[static_cast<std::size_t>(aResult.verdict_)] += 1;
  if (aResult.verdict_ == Verdict::kWhole) {
    tally.latency_.Add(aResult.latency_);
  }
  if (aResult.verdict_ == Verdict::kRefused) {
    refusals_[aResult.refusal_] += 1;
  }
}

std::uint64_t Tally::CallCount() const
{
  std::uint64_t count = 0;
  for (const auto& [key, tally] : classes_) {
    count += tally.calls_;
  }
  return count;
}

std::uint64_t Tally::CountOf(Verdict aVerdict) const
{
  std::uint64_t count = 0;
  for (const auto& [key, tally] : classes_) {
    count += tally.CountOf(aVerdict);
  }
  return count;
}

std::uint64_t Tally::BrokenPromiseCount() const
{
  std::uint64_t count = 0;
  for (const Verdict verdict : kVerdicts) {
    if (IsBrokenPromise(verdict)) {
      count += CountOf(verdict);
    }
  }
  return count;
}

} // namespace dandelionstand::load
