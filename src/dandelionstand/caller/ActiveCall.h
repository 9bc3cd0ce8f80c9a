#ifndef dandelionstand_caller_ActiveCall_h
#define dandelionstand_caller_ActiveCall_h

#include "dandelionstand/caller/AnswerSink.h"
#include "dandelionstand/caller/CallMachine.h"
#include "dandelionstand/caller/CallerRequest.h"
#include "dandelionstand/caller/WireCalls.h"

#include <functional>
#include <memory>

namespace dandelionstand::common {
class Counters;
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::peer {
class Transport;
} // namespace dandelionstand::peer

namespace dandelionstand::peer::wire {
class Envelope;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::caller {

struct ServicePolicy;

//! What every call of a daemon uses.
struct CallContext
{
  common::EventLoop& loop_;
  common::Counters& counters_;
  peer::Transport& transport_;
};

//! Runs one CallMachine: carries out its actions on the links and towards the caller.
class ActiveCall
{
public:
  using Done = std::function<void(common::RequestId)>;

  ActiveCall(const CallContext& aContext,
             common::RequestId aId,
             CallRoute aRoute,
             CallerRequest aRequest,
             const CallPlan& aPlan,
             ServicePolicy& aPolicy,
             AnswerSink& aSink,
             Done aDone);
  ~ActiveCall();

  //! May call Done before it returns, as each of the following.
  void Begin();
  //! Takes any answer message of an attempt of this call.
  void OnAnswer(const peer::wire::Envelope& aEnvelope);
  void OnLinkLost(const common::Address& aAddress);
  void OnCallerDisconnected();
  void OnBodyConsumed(std::uint32_t aBytes);

  std::size_t BodyBytes() const { return request_.body_.size(); }
  const CallRoute& Route() const { return route_; }
  std::uint32_t AttemptsMade() const { return machine_.AttemptsMade(); }
  common::Duration TargetTime() const { return machine_.TargetTime(); }
  //! The endpoint that was tried last.
  const Endpoint& LastEndpoint() const { return machine_.CurrentEndpoint(); }

private:
  //! Carries out the actions, arms the timer, and reports the end.
  void Run(CallActions aActions);
  void Perform(CallAction& aAction);
  void Send(const SendAttempt& aAttempt);
  void Cancel(const CancelAttempt& aAttempt);
  void Grant(const GrantCredit& aGrant);
  void ArmTimer();

  CallContext context_;
  common::RequestId id_;
  CallRoute route_;
  CallerRequest request_;
  CallMachine machine_;
  AnswerSink& sink_;
  Done done_;
  std::unique_ptr<common::Watch> timer_;
  common::TimePoint timerAt_ = common::TimePoint::max();
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_ActiveCall_h
