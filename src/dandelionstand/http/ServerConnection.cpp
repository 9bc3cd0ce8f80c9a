#include "dandelionstand/http/ServerConnection.h"

#include "dandelionstand/common/MessageGuard.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace dandelionstand::http {

namespace {

//! Maximum number of open requests of one connection; further requests stay unread.
constexpr std::size_t kMaxPipelined = 32;
//! Reading from the socket pauses when this many bytes wait behind the open requests.
constexpr std::size_t kMaxUnreadBytes = 256UL * 1024;
//! Sent bytes are reported in steps of at least this size, and when the output buffer is empty.
constexpr std::uint64_t kReportStepBytes = 64UL * 1024;
constexpr std::uint32_t kRequestTimeout = 408;
//! Time for the client to close its side after the last response. Closing earlier, while received
//! bytes are unread, would reset the connection, and the client could lose that response.
constexpr common::Duration kLingerTimeout = std::chrono::milliseconds(500);

//! The client of an older request may have left since. The check takes a system call.
constexpr common::Duration kMinAgeToCheckClient = std::chrono::milliseconds(100);

//! Requests with a safe (read-only) method may run concurrently with others of their connection.
bool IsSafeMethod(const std::string& aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "OPTIONS";
}

//! IP address of the other end of a connected socket; empty if it is not IPv4 or already closed.
std::string PeerHostOf(int aDescriptor)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  char host[INET_ADDRSTRLEN] = {};
  const bool isKnown =
    getpeername(aDescriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0 &&
    address.sin_family == AF_INET &&
    inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host)) != nullptr;
  return isKnown ? host : "";
}

} // namespace

ServerConnection::ServerConnection(common::EventLoop& aLoop,
                                   int aDescriptor,
                                   const Handlers& aHandlers)
  : loop_(aLoop)
  , handlers_(aHandlers)
  , stream_(bufferevent_socket_new(aLoop.Base(), aDescriptor, BEV_OPT_CLOSE_ON_FREE))
  , clientHost_(PeerHostOf(aDescriptor))
  , acceptedAt_(common::Now() - aLoop.MaxInputAge())
  , acceptedInPoll_(aLoop.PollCount())
{
  const int on = 1;
  setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bufferevent_setcb(stream_, &OnReadable, &OnWritable, &OnEvent, this);
  outputCallback_ = evbuffer_add_cb(bufferevent_get_output(stream_), &OnOutput, this);
  bufferevent_enable(stream_, EV_READ | EV_WRITE);
  ArmTimer();
}

ServerConnection::~ServerConnection()
{
  if (stream_ != nullptr) {
    evbuffer_remove_cb_entry(bufferevent_get_output(stream_), outputCallback_);
    bufferevent_free(stream_);
  }
}

void ServerConnection::OnReadable(bufferevent*, void* aSelf)
{
  auto* self = static_cast<ServerConnection*>(aSelf);
  self->Perform([self] { self->ReadRequests(); });
}

void ServerConnection::OnWritable(bufferevent*, void* aSelf)
{
  auto* self = static_cast<ServerConnection*>(aSelf);
  self->Perform([self] { self->Advance(); });
}

void ServerConnection::OnEvent(bufferevent*, short aEvents, void* aSelf)
{
  if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    auto* self = static_cast<ServerConnection*>(aSelf);
    self->Perform([self] { self->Close(false); });
  }
}

void ServerConnection::OnOutput(evbuffer*, const evbuffer_cb_info* aInfo, void* aSelf)
{
  if (aInfo->n_deleted > 0) {
    auto* self = static_cast<ServerConnection*>(aSelf);
    self->Perform([self] { self->ReportBytesSent(); });
  }
}

void ServerConnection::Perform(const std::function<void()>& aAction)
{
  loop_.Perform([&] {
    if (!common::HandleMessage("caller-connection", aAction)) {
      Close(true);
    }
  });
}

void ServerConnection::ReadRequests()
{
  evbuffer* input = bufferevent_get_input(stream_);
  if (isLingering_) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  while (!isClosed_ && CanReadNext()) {
    const std::size_t size = evbuffer_get_length(input);
    if (size == 0) {
      break;
    }
    if (reader_.CurrentState() == RequestReader::State::kIdle) {
      requestArrivedAt_ = InputArrivedAt();
    }
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const std::size_t used = reader_.Read({ bytes, size }, handlers_.limits_());
    evbuffer_drain(input, used);
    if (reader_.CurrentState() == RequestReader::State::kComplete) {
      AddExchange();
    } else if (reader_.CurrentState() == RequestReader::State::kFailed) {
      Reject();
      return;
    } else if (used == 0 || evbuffer_get_length(input) == 0) {
      break;
    }
  }
  if (isClosed_) {
    return;
  }
  if (reader_.ExpectsContinue() && exchanges_.empty() &&
      reader_.CurrentState() == RequestReader::State::kBody) {
    reader_.OnContinueSent();
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (evbuffer_get_length(input) > kMaxUnreadBytes && !CanReadNext()) {
    bufferevent_disable(stream_, EV_READ);
  }
  ArmTimer();
}

common::TimePoint ServerConnection::InputArrivedAt() const
{
  // What is there at the first poll after the accept may have waited since the connection was
  // opened.
  const bool isFirstRead = loop_.PollCount() <= acceptedInPoll_ + 1;
  return isFirstRead ? acceptedAt_ : common::Now() - loop_.MaxInputAge();
}

bool ServerConnection::HasClientLeft() const
{
  if (evbuffer_get_length(bufferevent_get_input(stream_)) > 0) {
    return false;
  }
  char byte = 0;
  const auto received = recv(bufferevent_getfd(stream_), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received == 0 || (received < 0 && errno == ECONNRESET);
}

bool ServerConnection::CanReadNext() const
{
  if (isLastWritten_ || exchanges_.size() + finishedExchanges_.size() >= kMaxPipelined) {
    return false;
  }
  // A closing connection closes after the requests that it has read.
  if (isClosing_ && !exchanges_.empty()) {
    return false;
  }
  // A request with an unsafe method waits until it is the only open one. If an earlier response
  // closes the connection, the client sends the request again, so it must not have run already.
  return std::all_of(exchanges_.begin(), exchanges_.end(), [](const auto& aExchange) {
    return IsSafeMethod(aExchange->method_) && aExchange->isKeptAlive_;
  });
}

std::uint64_t ServerConnection::SentBytes() const
{
  return writtenBytes_ - evbuffer_get_length(bufferevent_get_output(stream_));
}

void ServerConnection::AddExchange()
{
  Request request = reader_.ExtractRequest();
  request.clientHost_ = clientHost_;
  request.arrivedAt_ = requestArrivedAt_;
  request.completedAt_ = std::max(requestArrivedAt_, InputArrivedAt());
  if (common::Now() - requestArrivedAt_ > kMinAgeToCheckClient && HasClientLeft()) {
    if (handlers_.onAbandoned_) {
      handlers_.onAbandoned_();
    }
    Close(false);
    return;
  }
  auto exchange = std::make_unique<ServerExchange>(*this, std::move(request));
  ServerExchange& added = *exchange;
  const bool isDeferred = !exchanges_.empty() && !IsSafeMethod(added.method_);
  exchanges_.push_back(std::move(exchange));
  if (isDeferred) {
    return;
  }
  if (exchanges_.size() == 1) {
    ActivateFront();
  } else {
    added.isDispatched_ = true;
    handlers_.onRequest_(added);
  }
}

void ServerConnection::ActivateFront()
{
  if (exchanges_.empty() || isClosed_) {
    return;
  }
  ServerExchange& front = *exchanges_.front();
  // The request of an unsafe method does not run before the client has the responses before it.
  if (!front.isDispatched_ && !IsSafeMethod(front.method_) && !finishedExchanges_.empty()) {
    return;
  }
  front.isFront_ = true;
  reportedBytes_ = writtenBytes_;
  if (!front.isDispatched_) {
    front.isDispatched_ = true;
    handlers_.onRequest_(front);
    return;
  }
  if (!front.bufferedResponse_.empty()) {
    Write(std::exchange(front.bufferedResponse_, std::string()));
  }
  if (front.isAborted_) {
    OnAborted(front);
  } else if (front.isFinished_) {
    FinishFront();
  }
}

void ServerConnection::Reject()
{
  handlers_.onRejected_(reader_.Status(), reader_.Fault());
  isRequestRejected_ = true;
  bufferevent_disable(stream_, EV_READ);
  timer_.reset();
  // Queues the rejection behind the pending responses.
  auto exchange = std::make_unique<ServerExchange>(*this, Request{});
  ServerExchange& rejection = *exchange;
  rejection.isDispatched_ = true;
  exchanges_.push_back(std::move(exchange));
  if (exchanges_.size() == 1) {
    ActivateFront();
  }
  rejection.Reply({ reader_.Status(), { { "Content-Type", "text/plain" } } },
                  reader_.Fault() + "\n");
}

void ServerConnection::Write(const std::string& aBytes)
{
  if (!isClosed_) {
    writtenBytes_ += aBytes.size();
    bufferevent_write(stream_, aBytes.data(), aBytes.size());
  }
}

void ServerConnection::OnFinished(ServerExchange& aExchange)
{
  if (!isClosed_ && aExchange.isFront_) {
    FinishFront();
  }
}

void ServerConnection::OnAborted(ServerExchange& aExchange)
{
  if (isClosed_ || !aExchange.isFront_) {
    return;
  }
  const bool isUnfinished = !exchanges_.empty() && exchanges_.front().get() == &aExchange;
  if (isUnfinished && !finishedExchanges_.empty() && !aExchange.endsWithConnection_) {
    // A reset would also discard the responses before it.
    isLastWritten_ = true;
    return;
  }
  Close(true);
}

bool ServerConnection::IsNext(const ServerExchange& aExchange) const
{
  if (!finishedExchanges_.empty()) {
    return finishedExchanges_.front().exchange_.get() == &aExchange;
  }
  return !exchanges_.empty() && exchanges_.front().get() == &aExchange;
}

void ServerConnection::FinishFront()
{
  std::unique_ptr<ServerExchange> front = std::move(exchanges_.front());
  exchanges_.pop_front();
  isLastWritten_ = front->closesConnection_;
  front->Unwatch();
  finishedExchanges_.push_back({ std::move(front), writtenBytes_ });
  if (HasSentExchange()) {
    ScheduleAdvance(); // No further byte is written, so no write event follows.
  }
  if (!isLastWritten_) {
    ActivateFront();
  }
  if (!isClosed_) {
    ArmTimer();
  }
}

void ServerConnection::Advance()
{
  EndSentExchanges();
  ActivateWaitingFront();
  LingerIfDone();
}

void ServerConnection::ScheduleAdvance()
{
  if (advanceTimer_) {
    return;
  }
  advanceTimer_ = loop_.After(common::Duration(0), [this] {
    advanceTimer_.reset();
    endedExchanges_.clear();
    Perform([this] {
      Advance();
      if (!isClosed_ && !isLastWritten_) {
        bufferevent_enable(stream_, EV_READ);
        ReadRequests();
      }
    });
  });
}

void ServerConnection::EndSentExchanges()
{
  while (!isClosed_ && HasSentExchange()) {
    std::unique_ptr<ServerExchange> sent = std::move(finishedExchanges_.front().exchange_);
    finishedExchanges_.pop_front();
    const ServerExchange::OnEnded onEnded = std::exchange(sent->onEnded_, nullptr);
    endedExchanges_.push_back(std::move(sent));
    lastEndedAt_ = common::Now();
    ScheduleAdvance();
    if (onEnded) {
      onEnded(true);
    }
  }
}

void ServerConnection::ActivateWaitingFront()
{
  const bool isFrontWaiting =
    !isClosed_ && !isLastWritten_ && !exchanges_.empty() && !exchanges_.front()->isDispatched_;
  if (isFrontWaiting) {
    ActivateFront();
  }
}

void ServerConnection::LingerIfDone()
{
  if (isClosed_ || evbuffer_get_length(bufferevent_get_output(stream_)) > 0) {
    return;
  }
  if (isLastWritten_) {
    StartLingering();
  }
}

void ServerConnection::StartLingering()
{
  if (std::exchange(isLingering_, true)) {
    return;
  }
  AbandonExchanges();
  if (isClosed_) {
    return;
  }
  // A client that is still sending a rejected body may treat an early end of the stream as a
  // failure.
  if (!isRequestRejected_) {
    shutdown(bufferevent_getfd(stream_), SHUT_WR);
  }
  evbuffer* input = bufferevent_get_input(stream_);
  evbuffer_drain(input, evbuffer_get_length(input));
  bufferevent_enable(stream_, EV_READ);
  timer_ = loop_.After(kLingerTimeout, [this] { Close(false); });
}

void ServerConnection::AbandonExchanges()
{
  for (const FinishedExchange& finished : finishedExchanges_) {
    const ServerExchange::OnEnded onEnded = std::exchange(finished.exchange_->onEnded_, nullptr);
    if (onEnded) {
      onEnded(false);
    }
  }
  for (const auto& exchange : exchanges_) {
    const ServerExchange::OnDisconnected onDisconnected =
      std::exchange(exchange->onDisconnected_, nullptr);
    exchange->onBytesSent_ = nullptr;
    if (onDisconnected) {
      onDisconnected();
    }
    const ServerExchange::OnEnded onEnded = std::exchange(exchange->onEnded_, nullptr);
    if (onEnded) {
      onEnded(false);
    }
  }
}

void ServerConnection::ReportBytesSent()
{
  // The write event comes when the buffer is empty, and a later response may keep it filled.
  if (HasSentExchange() && evbuffer_get_length(bufferevent_get_output(stream_)) > 0) {
    ScheduleAdvance();
  }
  if (exchanges_.empty() || !exchanges_.front()->onBytesSent_) {
    return;
  }
  const std::uint64_t sentBytes = SentBytes();
  const std::uint64_t newBytes = sentBytes > reportedBytes_ ? sentBytes - reportedBytes_ : 0;
  if (newBytes > 0 && (newBytes >= kReportStepBytes || sentBytes == writtenBytes_)) {
    reportedBytes_ = sentBytes;
    const ServerExchange::OnBytesSent onBytesSent = exchanges_.front()->onBytesSent_;
    onBytesSent(static_cast<std::uint32_t>(newBytes));
  }
}

void ServerConnection::ArmTimer()
{
  const RequestReader::State state = reader_.CurrentState();
  const bool isIdle = state == RequestReader::State::kIdle;
  if (isLingering_) {
    return;
  }
  sentBytesAtTimer_ = SentBytes();
  if (isIdle && !exchanges_.empty()) {
    timer_.reset();
    timerState_ = RequestReader::State::kComplete;
    return;
  }
  // The time-out of a head starts at its first byte, that of a body restarts with each progress.
  if (timer_ && state == RequestReader::State::kHead && timerState_ == state) {
    return;
  }
  const Limits limits = handlers_.limits_();
  timerState_ = state;
  timer_ = loop_.After(state == RequestReader::State::kHead ? limits.headTime_ : limits.idleTime_,
                       [this] { OnTimer(); });
}

void ServerConnection::OnTimer()
{
  timer_.reset();
  if (isClosed_) {
    return;
  }
  if (!exchanges_.empty()) {
    ArmTimer(); // The client's time-out starts once the pending responses are sent.
    return;
  }
  if (!finishedExchanges_.empty()) {
    if (SentBytes() != sentBytesAtTimer_) {
      ArmTimer();
    } else {
      Close(true); // The client does not receive the response.
    }
    return;
  }
  const common::Duration idleTime = common::Now() - lastEndedAt_;
  if (reader_.CurrentState() == RequestReader::State::kIdle &&
      idleTime < handlers_.limits_().idleTime_) {
    timer_ = loop_.After(handlers_.limits_().idleTime_ - idleTime, [this] { OnTimer(); });
    return;
  }
  if (reader_.CurrentState() == RequestReader::State::kHead) {
    handlers_.onRejected_(kRequestTimeout, "head took too long");
    Write("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    isLastWritten_ = true;
    LingerIfDone();
    return;
  }
  Close(false);
}

void ServerConnection::Close(bool aWithReset)
{
  EndSentExchanges();
  if (std::exchange(isClosed_, true)) {
    return;
  }
  timer_.reset();
  if (aWithReset) {
    // Unlike an orderly close, a reset can't be mistaken for the end of a response without a
    // length.
    const linger reset{ 1, 0 };
    setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  bufferevent_disable(stream_, EV_READ | EV_WRITE);
  evbuffer_remove_cb_entry(bufferevent_get_output(stream_), outputCallback_);
  bufferevent_free(std::exchange(stream_, nullptr));
  AbandonExchanges();
  handlers_.onClosed_(*this);
}

} // namespace dandelionstand::http
