#ifndef dandelionstand_load_AnswerCheck_h
#define dandelionstand_load_AnswerCheck_h

#include "dandelionstand/load/Mix.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace dandelionstand::load {

//! What a refusal says about the run, from the header Dandelion-Run.
enum class RunState
{
  kNotRun,
  kRun,
  kUnknown,
};

std::string ToString(RunState aState);
//! "not-run", "run" or "unknown"; none for any other text.
std::optional<RunState> ParseRunState(const std::string& aText);

//! An answer as it came from a daemon or a target.
struct Answer
{
  int status_ = 0;                             //!< HTTP status; 0 if no whole answer came.
  bool isEnded_ = false;                       //!< The body ended as HTTP says it must.
  std::string identity_;                       //!< Header Request-Identity.
  std::string runState_;                       //!< Header Dandelion-Run.
  std::string reason_;                         //!< Header Dandelion-Reason.
  std::optional<std::uint64_t> contentLength_; //!< Header Content-Length.
  std::uint64_t bodyBytes_ = 0;
  bool isBodyOwn_ = true; //!< Each byte was the one that the identity asks for.
};

enum class Verdict
{
  kWhole,         //!< The whole answer to this call.
  kWrongIdentity, //!< Another call's answer: a broken promise.
  kWrongBody,     //!< The right length and identity, other bytes: a broken promise.
  kTruncated,     //!< Fewer or more bytes than were promised, passed off as whole.
  kBrokenOff,     //!< The connection ended within the answer, as the caller could see.
  kRefused,       //!< A refusal with its run state.
  kUnmarked,      //!< A refusal that does not say whether the call was run.
  kNoAnswer,      //!< The connection failed or the time ran out before an answer.
};

//! All verdicts, in the order of their values.
constexpr std::array kVerdicts = {
  Verdict::kWhole,     Verdict::kWrongIdentity, Verdict::kWrongBody, Verdict::kTruncated,
  Verdict::kBrokenOff, Verdict::kRefused,       Verdict::kUnmarked,  Verdict::kNoAnswer,
};
constexpr std::size_t kVerdictCount = kVerdicts.size();

std::string ToString(Verdict aVerdict);
//! Whether the verdict alone shows that the caller was misled.
bool IsBrokenPromise(Verdict aVerdict);

//! Judges an answer against the call that it answers.
Verdict CheckAnswer(const CallPlan& aPlan, const Answer& aAnswer);

} // namespace dandelionstand::load

#endif // dandelionstand_load_AnswerCheck_h
