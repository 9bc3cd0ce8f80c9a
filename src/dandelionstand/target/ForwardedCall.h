#ifndef dandelionstand_target_ForwardedCall_h
#define dandelionstand_target_ForwardedCall_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/peer/generated/call.pb.h"
#include "dandelionstand/target/AttemptKey.h"

#include <xxhash.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace dandelionstand::common {
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::target {

class AnswerSender;
class TargetConnections;

//! One attempt that runs on the target: forwards the request over HTTP and streams the answer back
//! as far as the caller's side gives credit.
class ForwardedCall
{
public:
  //! Called once from the event loop when nothing of the call is left to do.
  using Finished = std::function<void(const AttemptKey&)>;

  ForwardedCall(common::EventLoop& aLoop,
                AnswerSender& aSender,
                TargetConnections& aConnections,
                peer::PeerRef aFrom,
                AttemptKey aKey,
                peer::wire::CallStart aStart,
                Finished aFinished);
  //! Closes the connection if the exchange has not ended, which cancels the work at the target.
  ~ForwardedCall();
  ForwardedCall(const ForwardedCall&) = delete;
  ForwardedCall& operator=(const ForwardedCall&) = delete;

  //! Hands the request to the target. aDeadline is for the head, and for the whole answer unless
  //! it is a download.
  void Start(common::TimePoint aDeadline);
  void AddCredit(std::uint32_t aBytes);
  const peer::PeerRef& From() const { return from_; }

private:
  static int OnHead(evhttp_request* aRequest, void* aSelf);
  static void OnData(evhttp_request* aRequest, void* aSelf);
  static void OnDone(evhttp_request* aRequest, void* aSelf);
  static void OnOutput(evbuffer* aBuffer, const evbuffer_cb_info* aInfo, void* aSelf);

  void AddHeaders(evhttp_request* aRequest, common::Duration aTimeLeft);
  bool SendHead(evhttp_request* aRequest);
  void SendData(evhttp_request* aRequest);
  void EndWhole(evhttp_request* aRequest);
  void Fail(const std::string& aReason, peer::wire::RunState aRunState);
  void ScheduleRead();
  void ApplyCredit();
  void OnTimeout();
  bool IsKeptAlive(evhttp_request* aRequest) const;
  void Release(bool aReuse);
  void FinishLater();

  common::EventLoop& loop_;
  AnswerSender& sender_;
  TargetConnections& connections_;
  peer::PeerRef from_;
  AttemptKey key_;
  peer::wire::CallStart start_;
  Finished finished_;

  evhttp_connection* connection_ = nullptr;
  evbuffer* output_ = nullptr;
  evbuffer_cb_entry* outputWatch_ = nullptr;
  std::unique_ptr<common::Watch> deadline_;
  std::unique_ptr<common::Watch> pausedLimit_;
  std::unique_ptr<common::Watch> readLater_;
  std::unique_ptr<common::Watch> finishLater_;
  XXH3_state_t* hash_;
  bool wasSent_ = false; //!< Whether a byte of the request may have reached the target.
  bool hasHead_ = false;
  bool isOver_ = false;
  std::uint64_t sequence_ = 0;
  std::uint64_t length_ = 0;
  std::int64_t credit_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_ForwardedCall_h
