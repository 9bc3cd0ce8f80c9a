#ifndef dandelionstand_caller_ActiveCall_h
#define dandelionstand_caller_ActiveCall_h

#include "dandelionstand/caller/AnswerSink.h"
#include "dandelionstand/caller/CallMachine.h"
#include "dandelionstand/caller/CallerRequest.h"
#include "dandelionstand/caller/RememberedNotices.h"
#include "dandelionstand/caller/WireCalls.h"

#include <functional>
#include <memory>
#include <string_view>

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

//! Services shared by all calls of a daemon.
struct CallContext
{
  common::EventLoop& loop_;
  common::Counters& counters_;
  peer::Transport& transport_;
  RememberedNotices& notices_;
  //! Returns why a call may not be sent now, although it was accepted; empty if it may. Not set if
  //! permissions do not expire.
  std::function<std::string_view(const CallRoute&)> checkPermission_;
};

//! Drives one CallMachine: sends its messages to the target side and its answer to the caller.
class ActiveCall
{
public:
  using DoneHandler = std::function<void(common::RequestId)>;

  ActiveCall(const CallContext& aContext,
             common::RequestId aId,
             CallRoute aRoute,
             CallerRequest aRequest,
             const CallPlan& aPlan,
             ServicePolicy& aPolicy,
             AnswerSink& aSink,
             DoneHandler aDoneHandler);
  ~ActiveCall();

  //! This and the functions below may call the DoneHandler before they return.
  void Begin();
  //! Accepts any answer message for an attempt of this call.
  void OnAnswer(const peer::wire::Envelope& aEnvelope);
  void OnLinkLost(const common::Address& aAddress);
  void OnCallerDisconnected();
  void OnBodyConsumed(std::uint32_t aBytes);

  std::size_t BodyBytes() const { return request_.body_.size(); }
  const CallRoute& Route() const { return route_; }
  std::uint32_t AttemptsMade() const { return machine_.AttemptsMade(); }
  common::Duration TargetTime() const { return machine_.TargetTime(); }
  const CallPlan& Plan() const { return machine_.Plan(); }
  //! Endpoint of the last attempt.
  const Endpoint& LastEndpoint() const { return machine_.CurrentEndpoint(); }

private:
  //! Performs the actions, then arms the timer or, once the call is done, calls the DoneHandler.
  void RunActions(CallActions aActions);
  void Perform(CallAction& aAction);
  void RememberNotice(std::uint32_t aAttempt, const peer::wire::Load& aLoad);
  void Send(const SendAttempt& aAttempt);
  //! Sends aBytes more of the deferred body of the running attempt.
  void SendRequestBody(std::size_t aBytes);
  void Cancel(const CancelAttempt& aAttempt);
  void Grant(const GrantCredit& aGrant);
  void ArmTimer();

  CallContext context_;
  common::RequestId id_;
  CallRoute route_;
  CallerRequest request_;
  CallMachine machine_;
  AnswerSink& sink_;
  DoneHandler doneHandler_;
  std::size_t sentBodyBytes_ = 0; //!< Of the deferred body of the running attempt.
  std::unique_ptr<common::Watch> timer_;
  common::TimePoint timerDeadline_ = common::TimePoint::max();
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_ActiveCall_h
