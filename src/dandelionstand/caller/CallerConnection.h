#ifndef dandelionstand_caller_CallerConnection_h
#define dandelionstand_caller_CallerConnection_h

#include "dandelionstand/caller/CallerRequest.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct evbuffer_cb_entry;
struct evhttp_connection;
struct evhttp_request;
struct evbuffer;
struct evbuffer_cb_info;

namespace dandelionstand::common {
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::caller {

//! One request of a caller and its answer on the caller's HTTP connection.
class CallerConnection
{
public:
  //! Called once: the answer was written whole, or the connection is gone.
  using Ended = std::function<void(const CallerConnection&)>;
  using Gone = std::function<void()>;
  using Taken = std::function<void(std::uint32_t aBytes)>;

  CallerConnection(common::EventLoop& aLoop, evhttp_request* aRequest, Ended aEnded);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  //! Moves the request's content out.
  CallerRequest TakeRequest();

  //! aGone is called if the caller goes away before its answer was written.
  void Watch(Gone aGone, Taken aTaken);
  //! Nobody listens to the events any more; the answer is still written.
  void Unwatch();

  void SendHead(std::uint32_t aStatus, const Headers& aHeaders);
  void SendBody(const std::string& aData);
  void Finish();
  void Refuse(const Refusal& aRefusal);
  //! Breaks the connection so that the caller sees that the answer is not whole.
  void Abort();

private:
  static void OnComplete(evhttp_request* aRequest, void* aSelf);
  static void OnClosed(evhttp_connection* aConnection, void* aSelf);
  static void OnOutput(evbuffer* aBuffer, const evbuffer_cb_info* aInfo, void* aSelf);

  void CheckCaller();
  void ReportTaken(std::size_t aUnsent);
  void Detach();
  void End(bool aIsGone);

  common::EventLoop& loop_;
  evhttp_request* request_; //!< Null once it is over.
  evhttp_connection* connection_;
  evbuffer* output_;
  evbuffer_cb_entry* outputWatch_ = nullptr;
  std::unique_ptr<common::Watch> callerWatch_;
  Ended ended_;
  Gone gone_;
  Taken taken_;
  std::uint64_t sentBytes_ = 0;
  std::uint64_t takenBytes_ = 0;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_CallerConnection_h
