#ifndef dandelionstand_target_ForwardedCall_h
#define dandelionstand_target_ForwardedCall_h

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

//! One attempt that runs on the target: forwards the request over HTTP and streams the answer back
//! as far as the caller's side gives credit.
class ForwardedCall
{
public:
  //! Called once from the event loop when nothing of the call is left to do.
  using Finished = std::function<void(const AttemptKey&, WorkEnd)>;
  //! Called if the target cannot be reached, or another one has its address.
  using Lost = std::function<void(const std::string& aReason)>;

  //! What the calls to one target share.
  struct Context
  {
    common::EventLoop& loop_;
    common::Counters& counters_;
    AnswerSender& sender_;
    TargetConnections& connections_;
    const dialect::TargetDialect& dialect_;
    Lost lost_;
  };

  ForwardedCall(const Context& aContext,
                peer::PeerRef aFrom,
                AttemptKey aKey,
                peer::wire::CallStart aStart,
                Finished aFinished);
  //! Closes the connection if the exchange has not ended, which cancels the work at the target.
  ~ForwardedCall();
  ForwardedCall(const ForwardedCall&) = delete;
  ForwardedCall& operator=(const ForwardedCall&) = delete;

  //! Hands the request to the target. aDeadline is for the head, and for the whole answer unless
  //! it is a download. aExpectedInstance names the start of the target that it is for.
  void Start(common::TimePoint aDeadline, const std::string& aExpectedInstance);
  void AddCredit(std::uint32_t aBytes);
  const peer::PeerRef& From() const { return from_; }
  //! The request; its body is gone once it was handed to the target.
  const peer::wire::CallStart& Request() const { return start_; }

private:
  http::Headers CallerHeaders() const;
  http::ClientConnection::Handlers MakeHandlers();
  bool IsOwn(const http::ResponseHead& aHead);
  void OnHead(http::ResponseHead aHead);
  void OnData(std::string_view aData);
  void OnEnd(bool aIsReusable);
  void OnBroken(http::ClientFailure aFailure);
  void SendFrame(std::string aData);
  void Fail(const std::string& aReason, peer::wire::RunState aRunState);
  void ApplyCredit();
  void OnTimeout();
  void Release(bool aReuse);
  void FinishLater();

  const Context& context_;
  peer::PeerRef from_;
  AttemptKey key_;
  peer::wire::CallStart start_;
  Finished finished_;

  TargetConnections::Connection connection_;
  http::Headers sent_;
  http::ResponseHead head_;
  dialect::AnswerVerdict verdict_ = dialect::AnswerVerdict::kValid;
  common::TimePoint startedAt_;
  std::unique_ptr<common::Watch> deadline_;
  std::unique_ptr<common::Watch> idleLimit_;
  std::unique_ptr<common::Watch> finishLater_;
  XXH3_state_t* hash_;
  bool hasHead_ = false;
  bool isOver_ = false;
  std::uint64_t sequence_ = 0;
  std::uint64_t length_ = 0;
  std::int64_t credit_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_ForwardedCall_h
