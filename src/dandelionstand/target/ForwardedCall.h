#ifndef dandelionstand_target_ForwardedCall_h
#define dandelionstand_target_ForwardedCall_h

#include "dandelionstand/common/TargetIdentity.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/dialect/TargetDialect.h"
#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/peer/generated/call.pb.h"
#include "dandelionstand/target/AdmissionQueue.h"
#include "dandelionstand/target/AttemptKey.h"
#include "dandelionstand/target/TargetConnections.h"

#include <xxhash.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dandelionstand::common {
class Counters;
} // namespace dandelionstand::common

namespace dandelionstand::target {

class AnswerSender;

//! One attempt that runs on the target: forwards the request over HTTP and streams the answer back,
//! limited by the credit that the caller's daemon grants.
class ForwardedCall
{
public:
  //! Called once from the event loop when the call is finished and may be destroyed.
  using FinishedHandler = std::function<void(const AttemptKey&, WorkOutcome)>;
  //! Called if the target cannot be reached or another target has its address.
  using TargetLostHandler = std::function<void(const std::string& aReason)>;

  //! Called with what the target states in an answer to a request sent at aSentAt.
  using NoticeHandler = std::function<void(const common::TargetIdentity& aTarget,
                                           const dialect::TargetNotice& aNotice,
                                           common::TimePoint aSentAt)>;

  //! The objects shared by all calls to a target.
  struct Context
  {
    common::EventLoop& loop_;
    common::Counters& counters_;
    AnswerSender& sender_;
    TargetConnections& connections_;
    const dialect::TargetDialect& dialect_;
    TargetLostHandler onTargetLost_;
    NoticeHandler onNotice_;
  };

  ForwardedCall(const Context& aContext,
                peer::PeerRef aCallerDaemon,
                AttemptKey aKey,
                peer::wire::CallStart aRequest,
                FinishedHandler aOnFinished);
  //! Closes the connection if the exchange is incomplete, which cancels the work at the target.
  ~ForwardedCall();
  ForwardedCall(const ForwardedCall&) = delete;
  ForwardedCall& operator=(const ForwardedCall&) = delete;

  //! Sends the request to the target. aDeadline applies to the answer's head and, unless it is a
  //! download, to its body. aTarget is the target incarnation addressed.
  void Start(common::TimePoint aDeadline, const common::TargetIdentity& aTarget);
  void AddCredit(std::uint32_t aBytes);
  const peer::PeerRef& CallerDaemon() const { return callerDaemon_; }
  //! The request, without its body once Start() was called.
  const peer::wire::CallStart& Request() const { return request_; }

private:
  http::Headers CallerHeaders() const;
  http::ClientConnection::Handlers MakeHandlers();
  bool BelongsToRequest(const http::ResponseHead& aHead);
  void OnHead(http::ResponseHead aHead);
  void OnData(std::string_view aData);
  void OnEnd(bool aIsReusable);
  void OnFailure(http::ClientFailure aFailure);
  void SendFrame(std::string aData);
  void Fail(const std::string& aReason, peer::wire::RunState aRunState);
  void ApplyCredit();
  void OnTimeout();
  void ReleaseConnection(bool aKeepOpen);
  void ScheduleFinish();

  const Context& context_;
  peer::PeerRef callerDaemon_;
  AttemptKey key_;
  peer::wire::CallStart request_;
  FinishedHandler onFinished_;

  TargetConnections::Connection connection_;
  http::Headers sentHeaders_;
  http::ResponseHead answerHead_;
  dialect::AnswerVerdict verdict_ = dialect::AnswerVerdict::kValid;
  common::TimePoint startedAt_;
  common::TargetIdentity target_;
  std::unique_ptr<common::Watch> deadlineTimer_;
  std::unique_ptr<common::Watch> idleTimer_;
  std::unique_ptr<common::Watch> finishTimer_;
  XXH3_state_t* bodyHash_;
  bool hasHead_ = false;
  bool isFinished_ = false;
  std::uint64_t nextSequence_ = 0;
  std::uint64_t bodyLength_ = 0;
  std::size_t discardedBytes_ = 0; //!< Of the body of a refusal.
  std::int64_t creditBytes_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_ForwardedCall_h
