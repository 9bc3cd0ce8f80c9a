#ifndef dandelionstand_caller_AnswerPolicy_h
#define dandelionstand_caller_AnswerPolicy_h

#include "dandelionstand/caller/CallTypes.h"

namespace dandelionstand::caller {

//! Whether the request may be tried again at another endpoint in place of this answer.
bool IsRetryableAnswer(const CallPlan& aPlan, const AttemptHead& aHead);

//! Whether the answer must not reach the caller: its status would promise that a request did not
//! run that may run once only, and the target has not marked it as a refusal.
bool IsFalsePromise(const CallPlan& aPlan, const AttemptHead& aHead);

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_AnswerPolicy_h
