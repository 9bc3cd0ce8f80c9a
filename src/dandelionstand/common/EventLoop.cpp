#include "dandelionstand/common/EventLoop.h"

#include <event2/event.h>

#include <csignal>
#include <new>
#include <utility>

namespace dandelionstand::common {

namespace {

constexpr suseconds_t kMicrosecondsPerSecond = 1'000'000;

timeval ToTimeval(Duration aDuration)
{
  const auto count = aDuration.count() < 0 ? 0 : aDuration.count();
  return { static_cast<time_t>(count / kMicrosecondsPerSecond),
           static_cast<suseconds_t>(count % kMicrosecondsPerSecond) };
}

class EventWatch : public Watch
{
public:
  EventWatch(event_base* aBase, int aDescriptor, short aFlags, std::function<void()> aAction)
    : action_(std::move(aAction))
    , event_(event_new(aBase, aDescriptor, aFlags, &EventWatch::Fire, this))
  {
    if (event_ == nullptr) {
      throw std::bad_alloc();
    }
  }

  ~EventWatch() override { event_free(event_); }

  void Add(const timeval* aDelay) { event_add(event_, aDelay); }

private:
  static void Fire(evutil_socket_t, short, void* aSelf)
  {
    // Calls a copy of the action, since the action may destroy its watch.
    const std::function<void()> action = static_cast<EventWatch*>(aSelf)->action_;
    action();
  }

  std::function<void()> action_;
  event* event_;
};

void RunPosted(evutil_socket_t, short, void* aAction)
{
  const std::unique_ptr<std::function<void()>> action(static_cast<std::function<void()>*>(aAction));
  (*action)();
}

std::unique_ptr<Watch> MakeWatch(event_base* aBase,
                                 int aDescriptor,
                                 short aFlags,
                                 const timeval* aDelay,
                                 std::function<void()> aAction)
{
  auto watch = std::make_unique<EventWatch>(aBase, aDescriptor, aFlags, std::move(aAction));
  watch->Add(aDelay);
  return watch;
}

} // namespace

Watch::~Watch() = default;

EventLoop::EventLoop()
{
  // Writing to a connection that the peer has closed must fail with EPIPE instead of ending the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  base_ = event_base_new_with_config(config);
  event_config_free(config);
  if (base_ == nullptr) {
    throw std::bad_alloc();
  }
}

EventLoop::~EventLoop()
{
  event_base_free(base_);
}

void EventLoop::Run()
{
  event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::Stop()
{
  event_base_loopbreak(base_);
}

std::unique_ptr<Watch> EventLoop::After(Duration aDelay, std::function<void()> aAction)
{
  const timeval delay = ToTimeval(aDelay);
  return MakeWatch(base_, -1, 0, &delay, std::move(aAction));
}

std::unique_ptr<Watch> EventLoop::Every(Duration aInterval, std::function<void()> aAction)
{
  const timeval interval = ToTimeval(aInterval);
  return MakeWatch(base_, -1, EV_PERSIST, &interval, std::move(aAction));
}

std::unique_ptr<Watch> EventLoop::OnReadable(int aDescriptor, std::function<void()> aAction)
{
  return MakeWatch(base_, aDescriptor, EV_READ | EV_PERSIST, nullptr, std::move(aAction));
}

std::unique_ptr<Watch> EventLoop::OnSignal(int aSignal, std::function<void()> aAction)
{
  return MakeWatch(base_, aSignal, EV_SIGNAL | EV_PERSIST, nullptr, std::move(aAction));
}

void EventLoop::Post(std::function<void()> aAction)
{
  const timeval immediately{ 0, 0 };
  auto* posted = new std::function<void()>(std::move(aAction));
  event_base_once(base_, -1, EV_TIMEOUT, &RunPosted, posted, &immediately);
}

} // namespace dandelionstand::common
