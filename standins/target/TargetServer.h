#ifndef dandelionstand_standins_target_TargetServer_h
#define dandelionstand_standins_target_TargetServer_h

#include "dandelionstand/common/EventLoop.h"
#include "standins/HttpServer.h"
#include "standins/target/BodySender.h"
#include "standins/target/RunCounter.h"
#include "standins/target/TargetBehaviour.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace dandelionstand::standins {

//! Counts since the target was started.
struct TargetStats
{
  std::uint64_t requests_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t unservable_ = 0; //!< Shed because the deadline is shorter than the work.
  //! Requests whose client closed the connection before the answer was complete.
  std::uint64_t cancelled_ = 0;
  std::uint64_t brokenOff_ = 0;    //!< Answers cut after breakAfterBytes_.
  std::uint64_t withDeadline_ = 0; //!< Requests that carried Deadline-Ms.
  std::uint64_t lastDeadlineMs_ = 0;
  std::uint64_t maxInFlight_ = 0; //!< Highest number of concurrent requests.
};

//! A target of one service. Control: `POST /control`, `GET /runs`, `GET /stats`, `GET /health`,
//! `GET /load`. Any other path is a request of the service; its answer carries the request's
//! identity.
class TargetServer
{
public:
  struct Settings
  {
    common::Address listen_;
    std::string service_;
    std::string runFile_; //!< Preserves the run counts across restarts; may be empty.
    TargetBehaviour behaviour_;
  };

  TargetServer(common::EventLoop& aLoop, Settings aSettings);
  //! Creates a target with the default behaviour and no run file.
  TargetServer(common::EventLoop& aLoop, const common::Address& aListen, std::string aService);
  ~TargetServer();

  const common::Address& ListeningAddress() const { return server_.ListeningAddress(); }
  //! Number of requests whose answer is not yet written to its socket.
  std::size_t InFlight() const { return activeRequests_.size() + server_.UnsentAnswerCount(); }
  //! Calls aAction when a control request changes whether the target is ready.
  void OnReadyChanged(std::function<void(bool)> aAction) { onReadyChanged_ = std::move(aAction); }

private:
  struct ActiveRequest
  {
    ServerRequest request_;
    std::unique_ptr<common::Watch> timer_;
    std::unique_ptr<BodySender> sender_;
  };
  using ActiveRequests = std::list<ActiveRequest>;

  void OnRequest(const ServerRequest& aRequest);
  void OnControl(const ServerRequest& aRequest);
  void SendRuns(const ServerRequest& aRequest) const;
  void SendStats(const ServerRequest& aRequest) const;
  void SendHealth(const ServerRequest& aRequest) const;
  void SendLoad(const ServerRequest& aRequest) const;

  void AcceptRequest(const ServerRequest& aRequest);
  //! The reason to shed a request before it runs, or null. Counts unservable requests.
  const char* ShedReason(const ServerRequest& aRequest);
  void Shed(const ServerRequest& aRequest, const char* aReason);
  //! The duration of a request that starts now, with the cold extra.
  common::Duration TotalWorkDuration() const;
  bool IsCold() const;
  void Run(const ServerRequest& aRequest);
  void Answer(ActiveRequests::iterator aActiveRequest);
  //! Number of bytes after which to cut an answer of aSize bytes, or nullopt. Decrements
  //! remainingBreaks_ if it is to be cut.
  std::optional<std::uint64_t> ConsumeBreak(std::uint64_t aSize);
  void SendContent(ActiveRequests::iterator aActiveRequest,
                   Content aContent,
                   ResponseOptions aOptions);

  common::EventLoop& loop_;
  std::string service_;
  TargetBehaviour behaviour_;
  common::TimePoint coldUntil_;
  TargetStats stats_;
  RunCounter runs_;
  ActiveRequests activeRequests_;
  std::function<void(bool)> onReadyChanged_;
  HttpServer server_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_target_TargetServer_h
