#ifndef dandelionstand_caller_WireCalls_h
#define dandelionstand_caller_WireCalls_h

#include "dandelionstand/caller/CallTypes.h"
#include "dandelionstand/caller/CallerRequest.h"
#include "dandelionstand/config/Resources.h"

namespace dandelionstand::peer::wire {
class AnswerBody;
class AnswerEnd;
class AnswerFailed;
class AnswerHead;
class CallStart;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::caller {

//! Snapshot of the route of a call, taken when the call starts.
struct CallRoute
{
  config::RouteName name_;
  common::Version version_;
  config::Route route_;
  common::OrganisationName organisation_; //!< Empty for a request without a key.
  std::string keyDigest_;                 //!< Bytes of its key's digest; empty likewise.
};

//! Whether the body is sent later, when the endpoint's daemon requests it.
bool IsBodyDeferred(const CallerRequest& aRequest, const SendAttempt& aAttempt);

//! Fills in the message that starts an attempt, except for the request id.
void FillCallStart(const CallRoute& aRoute,
                   const CallerRequest& aRequest,
                   const SendAttempt& aAttempt,
                   peer::wire::CallStart& aStart);

AttemptHead ToAttemptHead(const peer::wire::AnswerHead& aHead);
AttemptBody ToAttemptBody(const peer::wire::AnswerBody& aBody);
AttemptEnd ToAttemptEnd(const peer::wire::AnswerEnd& aEnd);
AttemptFailed ToAttemptFailed(const peer::wire::AnswerFailed& aFailed);

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_WireCalls_h
