#ifndef dandelionstand_load_Tally_h
#define dandelionstand_load_Tally_h

#include "dandelionstand/common/LatencyHistogram.h"
#include "dandelionstand/load/AnswerCheck.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace dandelionstand::load {

//! Which way a call took.
enum class CallPath
{
  kMesh,   //!< Through the daemons.
  kDirect, //!< Straight to a target, to measure what the mesh adds.
};

std::string ToString(CallPath aCallPath);

//! What is counted apart: the way, the rate step and the class.
struct TallyKey
{
  CallPath callPath_ = CallPath::kMesh;
  std::size_t step_ = 0;
  config::TrafficClass trafficClass_ = config::TrafficClass::kBrowse;

  auto operator<=>(const TallyKey&) const = default;
};

//! Why a call was refused, and whether the refusal says that it ran.
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
  RefusalKey refusal_; //!< Meaningful if refused.
  common::Duration latency_{};
  std::uint32_t attempts_ = 1; //!< As the answer reports them.
};

//! Counts of one key.
struct ClassTally
{
  common::LatencyHistogram latency_; //!< Of whole answers.
  std::uint64_t calls_ = 0;
  std::uint64_t attempts_ = 0;
  std::array<std::uint64_t, kVerdictCount> verdicts_{};

  std::uint64_t CountOf(Verdict aVerdict) const;
};

//! All results of a run.
class Tally
{
public:
  void Add(const CallResult& aResult);

  const std::map<TallyKey, ClassTally>& Classes() const { return classes_; }
  const std::map<RefusalKey, std::uint64_t>& Refusals() const { return refusals_; }
  //! Calls over all keys.
  std::uint64_t CallCount() const;
  //! Calls with that verdict over all keys.
  std::uint64_t CountOf(Verdict aVerdict) const;
  //! Calls whose verdict alone breaks a promise.
  std::uint64_t BrokenPromiseCount() const;

private:
  std::map<TallyKey, ClassTally> classes_;
  std::map<RefusalKey, std::uint64_t> refusals_;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_Tally_h
