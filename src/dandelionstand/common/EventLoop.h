#ifndef dandelionstand_common_EventLoop_h
#define dandelionstand_common_EventLoop_h

#include "dandelionstand/common/InputAge.h"
#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <exception>
#include <functional>
#include <memory>

struct event_base;

namespace dandelionstand::common {

//! Handle of a registered timer, descriptor or signal event. Destroying it cancels the event.
class Watch
{
public:
  virtual ~Watch();
};

//! The event loop of a process, based on libevent. All tasks run on its thread.
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  //! Runs the loop until Stop is called. An exception of an action ends the loop and is thrown
  //! here.
  void Run();
  void Stop();

  //! Calls aAction once after aDelay.
  std::unique_ptr<Watch> After(Duration aDelay, std::function<void()> aAction);
  //! Calls aAction every aInterval until the watch is destroyed.
  std::unique_ptr<Watch> Every(Duration aInterval, std::function<void()> aAction);
  //! Calls aAction whenever the descriptor is readable.
  std::unique_ptr<Watch> OnReadable(int aDescriptor, std::function<void()> aAction);
  //! Calls aAction each time the signal is delivered.
  std::unique_ptr<Watch> OnSignal(int aSignal, std::function<void()> aAction);
  //! Calls aAction in the next iteration of the loop.
  void Post(std::function<void()> aAction);

  //! Calls aAction. If it throws, the loop ends and Run throws the exception. Callbacks of libevent
  //! run their actions in here, because an exception must not pass through its C functions.
  void Perform(const std::function<void()>& aAction);

  //! Maximum time that the input which is read now has waited in its socket; see InputAge. Includes
  //! the time during which the machine was suspended.
  Duration MaxInputAge() const { return inputAge_.Bound(BootNow()); }
  //! Number of polls so far.
  std::uint64_t PollCount() const { return pollCount_; }

  event_base* Base() const { return base_; }

private:
  //! Called before the first action after a poll.
  void RecordPollReturned();

  event_base* base_;
  std::exception_ptr failure_;
  InputAge inputAge_;
  std::uint64_t pollCount_ = 0;
  bool isPolling_ = false;
};

} // namespace dandelionstand::common

#endif // dandelionstand_common_EventLoop_h
