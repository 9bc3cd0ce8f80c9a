#ifndef dandelionstand_http_ServerConnection_h
#define dandelionstand_http_ServerConnection_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/http/RequestReader.h"
#include "dandelionstand/http/ServerExchange.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;

namespace dandelionstand::http {

//! Server side of one client connection. It continues to read while responses are pending, so that
//! it detects a disconnect even if further requests are pipelined behind the current one.
class ServerConnection
{
public:
  //! Called for each request. The exchange is valid until its OnEnded callback has returned.
  using OnRequest = std::function<void(ServerExchange&)>;
  //! Called for an invalid request or a head that exceeds its time-out, for logging. The connection
  //! is closed afterwards.
  using OnRejected = std::function<void(std::uint32_t aStatus, const std::string& aFault)>;
  //! Called when the connection is closed. It may be destroyed in a later loop iteration.
  using OnClosed = std::function<void(ServerConnection&)>;
  using LimitsSource = std::function<Limits()>;
  //! Called if the client had left when its request was read; the request is dropped.
  using OnAbandoned = std::function<void()>;

  struct Handlers
  {
    OnRequest onRequest_;
    OnRejected onRejected_;
    OnClosed onClosed_;
    LimitsSource limits_;
    OnAbandoned onAbandoned_;
  };

  //! Takes ownership of a connected socket.
  ServerConnection(common::EventLoop& aLoop, int aDescriptor, const Handlers& aHandlers);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  //! Closes the connection after its next response. An idle connection stays open until then,
  //! because closing it could lose a request that is already on its way.
  void CloseAfterNextResponse() { isClosing_ = true; }
  bool IsClosing() const { return isClosing_; }

private:
  friend class ServerExchange;

  static void OnReadable(bufferevent* aStream, void* aSelf);
  static void OnWritable(bufferevent* aStream, void* aSelf);
  static void OnEvent(bufferevent* aStream, short aEvents, void* aSelf);
  static void OnOutput(evbuffer* aBuffer, const evbuffer_cb_info* aInfo, void* aSelf);

  //! Handles an event of the stream. If that throws, the connection is closed.
  void Perform(const std::function<void()>& aAction);
  //! Whether no request was read after that of the exchange.
  bool IsLast(const ServerExchange& aExchange) const
  {
    return !exchanges_.empty() && exchanges_.back().get() == &aExchange;
  }
  bool IsNext(const ServerExchange& aExchange) const;
  //! Bytes that have been passed to the kernel since the connection was accepted.
  std::uint64_t SentBytes() const;
  //! Ends the exchanges whose responses are sent, and goes on with what waited for them. To be
  //! called after each event that can be the last one of a response: its last byte was sent, or it
  //! was finished when all its bytes were sent.
  void Advance();
  //! Calls Advance and continues to read requests in the next loop iteration.
  void ScheduleAdvance();
  bool HasSentExchange() const
  {
    return !finishedExchanges_.empty() && finishedExchanges_.front().endOffset_ <= SentBytes();
  }
  void EndSentExchanges();
  //! Handles a request that waited for the responses before it.
  void ActivateWaitingFront();
  void Write(const std::string& aBytes);
  void OnFinished(ServerExchange& aExchange);
  void OnAborted(ServerExchange& aExchange);
  void ReadRequests();
  bool CanReadNext() const;
  //! When the input that is read now arrived, at the earliest.
  common::TimePoint InputArrivedAt() const;
  //! Whether the client has closed the connection after the bytes that are read.
  bool HasClientLeft() const;
  void AddExchange();
  void Reject();
  void ActivateFront();
  void FinishFront();
  void LingerIfDone();
  void StartLingering();
  void AbandonExchanges();
  void ReportBytesSent();
  void ArmTimer();
  void OnTimer();
  void Close(bool aWithReset);

  common::EventLoop& loop_;
  Handlers handlers_;
  bufferevent* stream_;
  evbuffer_cb_entry* outputCallback_ = nullptr;
  std::string clientHost_;             //!< IP address.
  common::TimePoint acceptedAt_;       //!< Or earlier if the process accepts late.
  std::uint64_t acceptedInPoll_;       //!< EventLoop::PollCount.
  common::TimePoint requestArrivedAt_; //!< Of the request that is read.
  RequestReader reader_;
  std::deque<std::unique_ptr<ServerExchange>> exchanges_; //!< Those that are not finished.
  struct FinishedExchange
  {
    std::unique_ptr<ServerExchange> exchange_;
    std::uint64_t endOffset_; //!< It is sent when SentBytes reaches this.
  };
  std::deque<FinishedExchange> finishedExchanges_;
  //! Ended exchanges that functions on the call stack may still use; destroyed in the next loop
  //! iteration.
  std::deque<std::unique_ptr<ServerExchange>> endedExchanges_;
  std::unique_ptr<common::Watch> timer_;
  std::unique_ptr<common::Watch> advanceTimer_;
  //! State of the reader when the timer was set.
  RequestReader::State timerState_ = RequestReader::State::kComplete;
  std::uint64_t writtenBytes_ = 0;     //!< To the output buffer since the connection was accepted.
  std::uint64_t reportedBytes_ = 0;    //!< Of these, passed to OnBytesSent or of earlier responses.
  std::uint64_t sentBytesAtTimer_ = 0; //!< SentBytes when the timer was set.
  common::TimePoint lastEndedAt_;      //!< End of the last exchange.
  bool isClosing_ = false;
  bool isLastWritten_ = false;     //!< The last response is in the output buffer.
  bool isRequestRejected_ = false; //!< The last request was invalid.
  bool isLingering_ = false;
  bool isClosed_ = false;
};

} // namespace dandelionstand::http

#endif // dandelionstand_http_ServerConnection_h
