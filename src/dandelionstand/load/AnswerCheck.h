#ifndef dandelionstand_load_AnswerCheck_h
#define dandelionstand_load_AnswerCheck_h

#include "dandelionstand/load/Mix.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace dandelionstand::load {

//! Whether a refused call was run by a target, from the header Dandelion-Run.
enum class RunState
{
  kNotRun,
  kRun,
  kUnknown,
};

std::string ToString(RunState aState);
//! Parses "not-run", "run" or "unknown"; std::nullopt for any other text.
std::optional<RunState> ParseRunState(const std::string& aText);

//! An answer as received from a daemon or a target.
struct Answer
{
  int status_ = 0;              //!< HTTP status; 0 if no complete answer was received.
  bool isBodyComplete_ = false; //!< The body ended as HTTP framing requires.
  std::string identity_;        //!< Header Request-Identity.
  std::string runState_;        //!< Header Dandelion-Run.
  std::string reason_;          //!< Header Dandelion-Reason.
  std::optional<std::uint64_t> contentLength_; //!< Header Content-Length.
  std::uint64_t bodyBytes_ = 0;
  bool hasExpectedBody_ = true; //!< The bytes are those of a body for the identity of the call.
};

//! Result of checking an answer. A broken promise is an answer that misleads the caller.
enum class Verdict
{
  kWhole,         //!< A complete and correct answer to this call.
  kWrongIdentity, //!< The answer to another call: a broken promise.
  kWrongBody,     //!< Correct length and identity, but wrong bytes: a broken promise.
  kTruncated,     //!< A wrong number of bytes, presented as complete: a broken promise.
  kBrokenOff,     //!< The connection ended within the answer, visibly to the caller.
  kRefused,       //!< A refusal with a valid run state.
  kUnmarked,      //!< A refusal without a valid run state: a broken promise.
  kNoAnswer,      //!< The connection failed or the call timed out before an answer.
};

//! All verdicts in the order of their values, which index arrays of counts.
constexpr std::array kVerdicts = {
  Verdict::kWhole,     Verdict::kWrongIdentity, Verdict::kWrongBody, Verdict::kTruncated,
  Verdict::kBrokenOff, Verdict::kRefused,       Verdict::kUnmarked,  Verdict::kNoAnswer,
};
constexpr std::size_t kVerdictCount = kVerdicts.size();

std::string ToString(Verdict aVerdict);
//! Whether the verdict alone, without the run counts of the targets, proves a broken promise.
bool IsBrokenPromise(Verdict aVerdict);

//! Checks an answer against the call that was sent.
Verdict CheckAnswer(const CallPlan& aPlan, const Answer& aAnswer);

} // namespace dandelionstand::load

#endif // dandelionstand_load_AnswerCheck_h
