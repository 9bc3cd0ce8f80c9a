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

//! What a target has done so far.
struct TargetStats
{
  std::uint64_t requests_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t hopeless_ = 0;  //!< Shed because of their deadline.
  std::uint64_t cancelled_ = 0; //!< The client closed before the answer was complete.
  std::uint64_t brokenOff_ = 0;
  std::uint64_t withDeadline_ = 0; //!< Requests that carried Deadline-Ms.
  std::uint64_t lastDeadlineMs_ = 0;
  std::uint64_t mostAtOnce_ = 0;
};

//! A target of one service. Control: `POST /control`, `GET /runs`, `GET /stats`, `GET /health`,
//! `GET /load`; every other path is a request, and its answer carries the request's identity.
class TargetServer
{
public:
  struct Settings
  {
    common::Address listen_;
    std::string service_;
    std::string runFile_; //!< Where runs are kept over restarts; may be empty.
    TargetBehaviour behaviour_;
  };

  TargetServer(common::EventLoop& aLoop, Settings aSettings);
  //! A target with the default behaviour.
  TargetServer(common::EventLoop& aLoop, const common::Address& aListen, std::string aService);
  ~TargetServer();

  const common::Address& ListeningAddress() const { return server_.ListeningAddress(); }
  //! Requests whose answer has not yet left for the socket.
  std::size_t InFlight() const { return works_.size() + server_.UnsentCount(); }
  //! Called when a control request changes whether the target is ready.
  void OnReadyChanged(std::function<void(bool)> aAction) { onReadyChanged_ = std::move(aAction); }

private:
  struct Work
  {
    ServerRequest request_;
    std::unique_ptr<common::Watch> timer_;
    std::unique_ptr<BodySender> sender_;
  };
  using Works = std::list<Work>;

  void OnRequest(const ServerRequest& aRequest);
  void OnControl(const ServerRequest& aRequest);
  void SendRuns(const ServerRequest& aRequest) const;
  void SendStats(const ServerRequest& aRequest) const;
  void SendHealth(const ServerRequest& aRequest) const;
  void SendLoad(const ServerRequest& aRequest) const;

  void Take(const ServerRequest& aRequest);
  //! The reason why a request is shed before it runs, or null.
  const char* ReasonToShed(const ServerRequest& aRequest);
  void Shed(const ServerRequest& aRequest, const char* aReason);
  common::Duration WorkTime() const;
  bool IsCold() const;
  void Run(const ServerRequest& aRequest);
  void Answer(Works::iterator aWork);
  std::optional<std::uint64_t> NextBreak(std::uint64_t aSize);
  void SendContent(Works::iterator aWork, Content aContent, BodyPlan aPlan);

  common::EventLoop& loop_;
  std::string service_;
  TargetBehaviour behaviour_;
  common::TimePoint coldUntil_;
  TargetStats stats_;
  RunCounter runs_;
  Works works_;
  std::function<void(bool)> onReadyChanged_;
  HttpServer server_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_target_TargetServer_h
