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

//! One connection of a client. It reads on while responses are due, so that it sees the client
//! leave also when further requests wait behind the present one.
class ServerConnection
{
public:
  //! A request is there. The exchange lives until its Ended.
  using OnRequest = std::function<void(ServerExchange&)>;
  //! A request that cannot be read, for the log.
  using OnRejected = std::function<void(std::uint32_t aStatus, const std::string& aFault)>;
  //! The connection is over and may be destroyed in a later turn of the loop.
  using OnClosed = std::function<void(ServerConnection&)>;
  using LimitsSource = std::function<Limits()>;

  struct Handlers
  {
    OnRequest onRequest_;
    OnRejected onRejected_;
    OnClosed onClosed_;
    LimitsSource limits_;
  };

  //! Takes the connected socket over.
  ServerConnection(common::EventLoop& aLoop, int aDescriptor, const Handlers& aHandlers);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  //! The next response ends the connection. An idle one stays open for it: closing it could cross
  //! a request that is on its way.
  void CloseAfterNext() { isClosing_ = true; }
  bool IsClosing() const { return isClosing_; }
  std::size_t Open() const { return exchanges_.size(); }

private:
  friend class ServerExchange;

  static void OnReadable(bufferevent* aStream, void* aSelf);
  static void OnWritable(bufferevent* aStream, void* aSelf);
  static void OnEvent(bufferevent* aStream, short aWhat, void* aSelf);
  static void OnOutput(evbuffer* aBuffer, const evbuffer_cb_info* aInfo, void* aSelf);

  void Write(const std::string& aBytes);
  void OnFinished(ServerExchange& aExchange);
  void OnAborted(ServerExchange& aExchange);
  void ReadRequests();
  bool MayTakeNext() const;
  void TakeRequest();
  void Reject();
  void Promote();
  void FinishFront();
  void CheckEnd();
  void Linger();
  void DropExchanges();
  void ReportTaken();
  void ArmTimer();
  void OnTimer();
  void Close(bool aResets);

  common::EventLoop& loop_;
  Handlers handlers_;
  bufferevent* stream_;
  evbuffer_cb_entry* outputWatch_ = nullptr;
  RequestReader reader_;
  std::deque<std::unique_ptr<ServerExchange>> exchanges_;
  //! Exchanges that the present turn of the loop may still use.
  std::deque<std::unique_ptr<ServerExchange>> ended_;
  std::unique_ptr<common::Watch> timer_;
  std::unique_ptr<common::Watch> again_;
  RequestReader::State timedState_ = RequestReader::State::kComplete;
  std::uint64_t written_ = 0;  //!< Bytes of the front response.
  std::uint64_t reported_ = 0; //!< Of them, bytes that were reported as taken.
  bool isClosing_ = false;
  bool isLast_ = false;     //!< The response that ends the connection was written.
  bool isRejected_ = false; //!< The last request could not be read to its end.
  bool isLingering_ = false;
  bool isClosed_ = false;
};

} // namespace dandelionstand::http

#endif // dandelionstand_http_ServerConnection_h
