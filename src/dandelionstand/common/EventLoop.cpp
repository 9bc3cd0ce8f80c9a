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
  EventWatch(EventLoop& aLoop, int aDescriptor, short aFlags, std::function<void()> aAction)
    : loop_(aLoop)
    , action_(std::move(aAction))
    , event_(event_new(aLoop.Base(), aDescriptor, aFlags, &EventWatch::Fire, this))
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
    const auto* self = static_cast<EventWatch*>(aSelf);
    const std::function<void()> action = self->action_;
    self->loop_.Perform(action);
  }

  EventLoop& loop_;
  std::function<void()> action_;
  event* event_;
};

struct PostedAction
{
  EventLoop& loop_;
  std::function<void()> action_;
};

void RunPosted(evutil_socket_t, short, void* aPosted)
{
  const std::unique_ptr<PostedAction> posted(static_cast<PostedAction*>(aPosted));
  posted->loop_.Perform(posted->action_);
}

std::unique_ptr<Watch> MakeWatch(EventLoop& aLoop,
                                 int aDescriptor,
                                 short aFlags,
                                 const timeval* aDelay,
                                 std::function<void()> aAction)
{
  auto watch = std::make_unique<EventWatch>(aLoop, aDescriptor, aFlags, std::move(aAction));
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
  // One poll a call, so that the time of each is known.
  do {
    ++pollCount_;
    isPolling_ = true;
    inputAge_.OnPollStarted(BootNow());
    if (event_base_loop(base_, EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY) != 0) {
      break;
    }
    RecordPollReturned();
  } while (event_base_got_break(base_) == 0);
  if (failure_) {
    std::rethrow_exception(std::exchange(failure_, nullptr));
  }
}

void EventLoop::RecordPollReturned()
{
  if (std::exchange(isPolling_, false)) {
    inputAge_.OnPollReturned(BootNow());
  }
}

void EventLoop::Perform(const std::function<void()>& aAction)
{
  RecordPollReturned();
  try {
    aAction();
  } catch (...) {
    failure_ = std::current_exception();
    event_base_loopbreak(base_);
  }
}

void EventLoop::Stop()
{
  event_base_loopbreak(base_);
}

std::unique_ptr<Watch> EventLoop::After(Duration aDelay, std::function<void()> aAction)
{
  const timeval delay = ToTimeval(aDelay);
  return MakeWatch(*this, -1, 0, &delay, std::move(aAction));
}

std::unique_ptr<Watch> EventLoop::Every(Duration aInterval, std::function<void()> aAction)
{
  const timeval interval = ToTimeval(aInterval);
  return MakeWatch(*this, -1, EV_PERSIST, &interval, std::move(aAction));
}

std::unique_ptr<Watch> EventLoop::OnReadable(int aDescriptor, std::function<void()> aAction)
{
  return MakeWatch(*this, aDescriptor, EV_READ | EV_PERSIST, nullptr, std::move(aAction));
}

std::unique_ptr<Watch> EventLoop::OnSignal(int aSignal, std::function<void()> aAction)
{
  return MakeWatch(*this, aSignal, EV_SIGNAL | EV_PERSIST, nullptr, std::move(aAction));
}

void EventLoop::Post(std::function<void()> aAction)
{
  const timeval immediately{ 0, 0 };
  auto* posted = new PostedAction{ *this, std::move(aAction) };
  event_base_once(base_, -1, EV_TIMEOUT, &RunPosted, posted, &immediately);
}

} // namespace dandelionstand::common
