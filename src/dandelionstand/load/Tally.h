#ifndef dandelionstand_load_Tally_h
#define dandelionstand_load_Tally_h

#include "dandelionstand/common/LatencyHistogram.h"
#include "dandelionstand/load/AnswerCheck.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace dandelionstand::load {

//! The path that a call took.
enum class CallPath
{
  kMesh,   //!< Through the daemons.
  kDirect, //!< Directly to a target, to measure the latency that the mesh adds.
};

std::string ToString(CallPath aCallPath);

//! Results are counted separately for each path, rate step and traffic class.
struct TallyKey
{
  CallPath callPath_ = CallPath::kMesh;
  std::size_t step_ = 0; //!< Index of the rate step.
  config::TrafficClass trafficClass_ = config::TrafficClass::kBrowse;

  auto operator<=>(const TallyKey&) const = default;
};

//! The run state and reason of a refusal.
struct RefusalKey
{
  RunState runState_ = RunState::kUnknown;
  std::string reason_;

  auto operator<=>(const RefusalKey&) const = default;
};

//! The result of one call.
struct CallResult
{
  TallyKey key_;
  Verdict verdict_ = Verdict::kNoAnswer;
  RefusalKey refusal_; //!< Valid only for Verdict::kRefused.
  common::Duration latency_{};
  std::uint32_t attempts_ = 1; //!< As reported by the answer.
};

//! The counts for one TallyKey.
struct ClassTally
{
  common::LatencyHistogram latency_; //!< Of calls with Verdict::kWhole.
  std::uint64_t calls_ = 0;
  std::uint64_t attempts_ = 0;
  std::array<std::uint64_t, kVerdictCount> verdicts_{};

  std::uint64_t CountOf(Verdict aVerdict) const;
};

//! The counts of all calls of a run.
class Tally
{
public:
  void Add(const CallResult& aResult);

  const std::map<TallyKey, ClassTally>& Classes() const { return classes_; }
  const std::map<RefusalKey, std::uint64_t>& Refusals() const { return refusals_; }
  //! Number of calls over all keys.
  std::uint64_t CallCount() const;
  //! Number of calls with this verdict over all keys.
  std::uint64_t CountOf(Verdict aVerdict) const;
  //! Number of calls for which IsBrokenPromise() holds.
  std::uint64_t BrokenPromiseCount() const;

private:
  std::map<TallyKey, ClassTally> classes_;
  std::map<RefusalKey, std::uint64_t> refusals_;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_Tally_h
