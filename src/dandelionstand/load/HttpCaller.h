#ifndef dandelionstand_load_HttpCaller_h
#define dandelionstand_load_HttpCaller_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/load/AnswerCheck.h"
#include "dandelionstand/load/Mix.h"
#include "dandelionstand/platform/HttpClient.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace dandelionstand::load {

struct HttpCallerSettings
{
  common::Address address_;      //!< A daemon, or a target that is called directly.
  std::size_t connections_ = 64; //!< Maximum keep-alive connections and concurrent calls.
  common::Duration timeout_{};   //!< From sending a call to the end of its answer.
};

//! Sends calls to one address. While all connections are busy, calls wait in a FIFO queue. The
//! user of this class measures latency from the scheduled time, so it includes this wait.
class HttpCaller
{
public:
  //! Receives the answer and the number of attempts from its header Dandelion-Attempts (1 if
  //! absent).
  using Callback = std::function<void(const Answer& aAnswer, std::uint32_t aAttempts)>;

  HttpCaller(common::EventLoop& aLoop, HttpCallerSettings aSettings);

  void Call(CallPlan aPlan, Callback aCallback);

private:
  struct PendingCall
  {
    CallPlan plan_;
    Callback callback_;
  };

  void Send(const CallPlan& aPlan, Callback aCallback);
  void SendNext();

  HttpCallerSettings settings_;
  std::deque<PendingCall> pendingCalls_;
  platform::HttpClient client_;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_HttpCaller_h
