#include "dandelionstand/http/ServerConnection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace dandelionstand::http {

namespace {

//! Requests of one connection that are open at a time; more wait unread.
constexpr std::size_t kMostPipelined = 32;
//! Unread bytes behind them, after which nothing more is read.
constexpr std::size_t kMostUnread = 256UL * 1024;
//! Taken bytes are reported in steps of this size, or when all is written.
constexpr std::uint64_t kReportStep = 64UL * 1024;
constexpr std::uint32_t kRequestTimeout = 408;
//! Time for a client to close its end after the last response. Closing first, with bytes of the
//! client unread, would reset the connection and could destroy that response on its way.
constexpr common::Duration kLingerTime = std::chrono::milliseconds(500);

//! A request that may run beside others of its connection: it changes nothing.
bool MayRunAhead(const std::string& aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "OPTIONS";
}

} // namespace

ServerConnection::ServerConnection(common::EventLoop& aLoop,
                                   int aDescriptor,
                                   const Handlers& aHandlers)
  : loop_(aLoop)
  , handlers_(aHandlers)
  , stream_(bufferevent_socket_new(aLoop.Base(), aDescriptor, BEV_OPT_CLOSE_ON_FREE))
{
  const int on = 1;
  setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bufferevent_setcb(stream_, &OnReadable, &OnWritable, &OnEvent, this);
  outputWatch_ = evbuffer_add_cb(bufferevent_get_output(stream_), &OnOutput, this);
  bufferevent_enable(stream_, EV_READ | EV_WRITE);
  ArmTimer();
}

ServerConnection::~ServerConnection()
{
  if (stream_ != nullptr) {
    evbuffer_remove_cb_entry(bufferevent_get_output(stream_), outputWatch_);
    bufferevent_free(stream_);
  }
}

void ServerConnection::OnReadable(bufferevent*, void* aSelf)
{
  static_cast<ServerConnection*>(aSelf)->ReadRequests();
}

void ServerConnection::OnWritable(bufferevent*, void* aSelf)
{
  static_cast<ServerConnection*>(aSelf)->CheckEnd();
}

void ServerConnection::OnEvent(bufferevent*, short aWhat, void* aSelf)
{
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    static_cast<ServerConnection*>(aSelf)->Close(false);
  }
}

void ServerConnection::OnOutput(evbuffer*, const evbuffer_cb_info* aInfo, void* aSelf)
{
  if (aInfo->n_deleted > 0) {
    static_cast<ServerConnection*>(aSelf)->ReportTaken();
  }
}

void ServerConnection::ReadRequests()
{
  evbuffer* input = bufferevent_get_input(stream_);
  if (isLingering_) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  while (!isClosed_ && MayTakeNext()) {
    const std::size_t size = evbuffer_get_length(input);
    if (size == 0) {
      break;
    }
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const std::size_t used = reader_.Read({ bytes, size }, handlers_.limits_());
    evbuffer_drain(input, used);
    if (reader_.Now() == RequestReader::State::kComplete) {
      TakeRequest();
    } else if (reader_.Now() == RequestReader::State::kBad) {
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
      reader_.Now() == RequestReader::State::kBody) {
    reader_.ContinueSent();
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (evbuffer_get_length(input) > kMostUnread && !MayTakeNext()) {
    bufferevent_disable(stream_, EV_READ);
  }
  ArmTimer();
}

bool ServerConnection::MayTakeNext() const
{
  if (isLast_ || exchanges_.size() >= kMostPipelined) {
    return false;
  }
  // A request that changes something runs alone: it must not have run if an earlier response
  // closes the connection and the client sends it again.
  return std::all_of(exchanges_.begin(), exchanges_.end(), [](const auto& aExchange) {
    return MayRunAhead(aExchange->method_) && aExchange->isKeptAlive_;
  });
}

void ServerConnection::TakeRequest()
{
  auto exchange = std::make_unique<ServerExchange>(*this, reader_.Take());
  ServerExchange& added = *exchange;
  const bool waits = !exchanges_.empty() && !MayRunAhead(added.method_);
  exchanges_.push_back(std::move(exchange));
  if (waits) {
    return;
  }
  if (exchanges_.size() == 1) {
    Promote();
  } else {
    added.isStarted_ = true;
    handlers_.onRequest_(added);
  }
}

void ServerConnection::Promote()
{
  if (exchanges_.empty() || isClosed_) {
    return;
  }
  ServerExchange& front = *exchanges_.front();
  front.isFirst_ = true;
  written_ = 0;
  reported_ = 0;
  if (!front.isStarted_) {
    front.isStarted_ = true;
    handlers_.onRequest_(front);
    return;
  }
  if (!front.early_.empty()) {
    Write(std::exchange(front.early_, std::string()));
  }
  if (front.isAborted_) {
    Close(true);
  } else if (front.isFinished_) {
    FinishFront();
  }
}

void ServerConnection::Reject()
{
  handlers_.onRejected_(reader_.Status(), reader_.Fault());
  isRejected_ = true;
  bufferevent_disable(stream_, EV_READ);
  timer_.reset();
  // The responses that are due go first.
  auto exchange = std::make_unique<ServerExchange>(*this, Request{});
  ServerExchange& rejected = *exchange;
  rejected.isStarted_ = true;
  exchanges_.push_back(std::move(exchange));
  if (exchanges_.size() == 1) {
    Promote();
  }
  rejected.Reply({ reader_.Status(), { { "Content-Type", "text/plain" } } },
                 reader_.Fault() + "\n");
}

void ServerConnection::Write(const std::string& aBytes)
{
  if (!isClosed_) {
    written_ += aBytes.size();
    bufferevent_write(stream_, aBytes.data(), aBytes.size());
  }
}

void ServerConnection::OnFinished(ServerExchange& aExchange)
{
  if (!isClosed_ && aExchange.isFirst_) {
    FinishFront();
  }
}

void ServerConnection::OnAborted(ServerExchange& aExchange)
{
  if (!isClosed_ && aExchange.isFirst_) {
    Close(true);
  }
}

void ServerConnection::FinishFront()
{
  std::unique_ptr<ServerExchange> front = std::move(exchanges_.front());
  exchanges_.pop_front();
  isLast_ = front->closes_;
  front->Unwatch();
  const ServerExchange::Ended ended = std::exchange(front->ended_, nullptr);
  ended_.push_back(std::move(front));
  if (!again_) {
    again_ = loop_.After(common::Duration(0), [this] {
      again_.reset();
      ended_.clear();
      if (!isClosed_ && !isLast_) {
        bufferevent_enable(stream_, EV_READ);
        ReadRequests();
      }
    });
  }
  if (ended) {
    ended();
  }
  if (isLast_) {
    CheckEnd();
    return;
  }
  Promote();
  CheckEnd();
  if (!isClosed_) {
    ArmTimer();
  }
}

void ServerConnection::CheckEnd()
{
  if (isClosed_ || evbuffer_get_length(bufferevent_get_output(stream_)) > 0) {
    return;
  }
  if (isLast_) {
    Linger();
  }
}

void ServerConnection::Linger()
{
  if (std::exchange(isLingering_, true)) {
    return;
  }
  DropExchanges();
  if (isClosed_) {
    return;
  }
  // A client that still sends a rejected body may take an early end for a failure.
  if (!isRejected_) {
    shutdown(bufferevent_getfd(stream_), SHUT_WR);
  }
  evbuffer* input = bufferevent_get_input(stream_);
  evbuffer_drain(input, evbuffer_get_length(input));
  bufferevent_enable(stream_, EV_READ);
  timer_ = loop_.After(kLingerTime, [this] { Close(false); });
}

void ServerConnection::DropExchanges()
{
  for (const auto& exchange : exchanges_) {
    const ServerExchange::Gone gone = std::exchange(exchange->gone_, nullptr);
    exchange->taken_ = nullptr;
    if (gone) {
      gone();
    }
    const ServerExchange::Ended ended = std::exchange(exchange->ended_, nullptr);
    if (ended) {
      ended();
    }
  }
}

void ServerConnection::ReportTaken()
{
  if (exchanges_.empty() || !exchanges_.front()->taken_) {
    return;
  }
  const std::uint64_t unsent = evbuffer_get_length(bufferevent_get_output(stream_));
  const std::uint64_t total = written_ > unsent ? written_ - unsent : 0;
  const std::uint64_t fresh = total > reported_ ? total - reported_ : 0;
  if (fresh > 0 && (fresh >= kReportStep || unsent == 0)) {
    reported_ = total;
    const ServerExchange::Taken taken = exchanges_.front()->taken_;
    taken(static_cast<std::uint32_t>(fresh));
  }
}

void ServerConnection::ArmTimer()
{
  const RequestReader::State state = reader_.Now();
  const bool isIdle = state == RequestReader::State::kIdle;
  if (isLingering_) {
    return;
  }
  if (isIdle && !exchanges_.empty()) {
    timer_.reset();
    timedState_ = RequestReader::State::kComplete;
    return;
  }
  // The time of a head counts from its first byte, that of a body from its last progress.
  if (timer_ && state == RequestReader::State::kHead && timedState_ == state) {
    return;
  }
  const Limits limits = handlers_.limits_();
  timedState_ = state;
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
    ArmTimer(); // Responses are due; the client's time counts once they are written.
    return;
  }
  if (reader_.Now() == RequestReader::State::kHead) {
    handlers_.onRejected_(kRequestTimeout, "head took too long");
    Write("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    isLast_ = true;
    CheckEnd();
    return;
  }
  Close(false);
}

void ServerConnection::Close(bool aResets)
{
  if (std::exchange(isClosed_, true)) {
    return;
  }
  timer_.reset();
  if (aResets) {
    // A reset cannot be taken for the regular end of a response without a length.
    const linger reset{ 1, 0 };
    setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  bufferevent_disable(stream_, EV_READ | EV_WRITE);
  evbuffer_remove_cb_entry(bufferevent_get_output(stream_), outputWatch_);
  bufferevent_free(std::exchange(stream_, nullptr));
  DropExchanges();
  handlers_.onClosed_(*this);
}

} // namespace dandelionstand::http
