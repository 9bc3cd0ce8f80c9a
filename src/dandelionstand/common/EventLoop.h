#ifndef dandelionstand_common_EventLoop_h
#define dandelionstand_common_EventLoop_h

#include "dandelionstand/common/Time.h"

#include <functional>
#include <memory>

struct event_base;

namespace dandelionstand::common {

//! A pending timer or watch; destroying it cancels it.
class Watch
{
public:
  virtual ~Watch();
};

//! The single event loop of a process, on libevent. All tasks run on its thread.
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  //! Runs until Stop.
  void Run();
  void Stop();

  //! Calls aAction once after aDelay.
  std::unique_ptr<Watch> After(Duration aDelay, std::function<void()> aAction);
  //! Calls aAction every aInterval until the watch is destroyed.
  std::unique_ptr<Watch> Every(Duration aInterval, std::function<void()> aAction);
  //! Calls aAction whenever the descriptor is readable.
  std::unique_ptr<Watch> OnReadable(int aDescriptor, std::function<void()> aAction);
  //! Calls aAction for each delivery of the signal.
  std::unique_ptr<Watch> OnSignal(int aSignal, std::function<void()> aAction);
  //! Calls aAction on the next turn of the loop.
  void Post(std::function<void()> aAction);

  event_base* Base() const { return base_; }

private:
  event_base* base_;
};

} // namespace dandelionstand::common

#endif // dandelionstand_common_EventLoop_h
