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
  common::Address address_;      //!< Entry point: a daemon, or a target that is called directly.
  std::size_t connections_ = 64; //!< Keep-alive connections, hence calls at one time.
  common::Duration timeout_{};   //!< From the sending of a call to the end of its answer.
};

//! Sends calls to one address. Calls beyond the connections wait in order; that wait is part of
//! their latency, which the caller of this class counts from the scheduled time.
class HttpCaller
{
public:
  //! The answer and the attempts that it reports.
  using Callback = std::function<void(const Answer& aAnswer, std::uint32_t aAttempts)>;

  HttpCaller(common::EventLoop& aLoop, HttpCallerSettings aSettings);

  void Call(CallPlan aPlan, Callback aCallback);

private:
  struct Waiting
  {
    CallPlan plan_;
    Callback callback_;
  };

  void Send(const CallPlan& aPlan, Callback aCallback);
  void SendNext();

  HttpCallerSettings settings_;
  std::deque<Waiting> waiting_;
  platform::HttpClient client_;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_HttpCaller_h
