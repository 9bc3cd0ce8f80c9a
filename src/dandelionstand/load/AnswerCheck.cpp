#include "dandelionstand/load/AnswerCheck.h"

namespace dandelionstand::load {

namespace {

constexpr int kFirstErrorStatus = 400;

bool HasWrongLength(const CallPlan& aPlan, const Answer& aAnswer)
{
  if (aAnswer.contentLength_ && *aAnswer.contentLength_ != aAnswer.bodyBytes_) {
    return true;
  }
  return aPlan.answerBytes_ != 0 && aPlan.answerBytes_ != aAnswer.bodyBytes_;
}

Verdict CheckRefusal(const Answer& aAnswer)
{
  return ParseRunState(aAnswer.runState_) ? Verdict::kRefused : Verdict::kUnmarked;
}

} // namespace

std::string ToString(RunState aState)
{
  switch (aState) {
    case RunState::kNotRun:
      return "not-run";
    case RunState::kRun:
      return "run";
    case RunState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::optional<RunState> ParseRunState(const std::string& aText)
{
  for (const RunState state : { RunState::kNotRun, RunState::kRun, RunState::kUnknown }) {
    if (ToString(state) == aText) {
      return state;
    }
  }
  return std::nullopt;
}

std::string ToString(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::kWhole:
      return "whole";
    case Verdict::kWrongIdentity:
      return "wrong-identity";
    case Verdict::kWrongBody:
      return "wrong-body";
    case Verdict::kTruncated:
      return "truncated";
    case Verdict::kBrokenOff:
      return "broken-off";
    case Verdict::kRefused:
      return "refused";
    case Verdict::kUnmarked:
      return "unmarked";
    case Verdict::kNoAnswer:
      return "no-answer";
  }
  return "no-answer";
}

bool IsBrokenPromise(Verdict aVerdict)
{
  return aVerdict == Verdict::kWrongIdentity || aVerdict == Verdict::kWrongBody ||
         aVerdict == Verdict::kTruncated || aVerdict == Verdict::kUnmarked;
}

Verdict CheckAnswer(const CallPlan& aPlan, const Answer& aAnswer)
{
  if (aAnswer.status_ == 0) {
    return aAnswer.bodyBytes_ > 0 ? Verdict::kBrokenOff : Verdict::kNoAnswer;
  }
  if (aAnswer.status_ >= kFirstErrorStatus) {
    return CheckRefusal(aAnswer);
  }
  if (aAnswer.identity_ != aPlan.identity_) {
    return Verdict::kWrongIdentity;
  }
  if (!aAnswer.isBodyComplete_) {
    return Verdict::kBrokenOff;
  }
  if (HasWrongLength(aPlan, aAnswer)) {
    return Verdict::kTruncated;
  }
  return aAnswer.hasExpectedBody_ ? Verdict::kWhole : Verdict::kWrongBody;
}

} // namespace dandelionstand::load
