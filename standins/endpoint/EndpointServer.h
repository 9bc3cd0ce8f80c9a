#ifndef dandelionstand_standins_endpoint_EndpointServer_h
#define dandelionstand_standins_endpoint_EndpointServer_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/http/Server.h"
#include "dandelionstand/platform/HttpClient.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dandelionstand::standins {

//! Behaviour of an endpoint, set by POST /control.
struct EndpointBehaviour
{
  std::string state_ = "ready";        //!< "ready", "draining" or "gone" (has left).
  common::Duration workDuration_{ 0 }; //!< Work time per request.
  bool isShedding_ = false;            //!< Refuses every request as not executed.
  bool isHeartbeatStopped_ = false;    //!< Sends no heartbeats.
  std::uint64_t limit_ = 0; //!< Requests per second that its answers name; 0: they name none.
  bool isLeaving_ = false;  //!< Its answers state that it is leaving.
  std::string answerMode_ = "whole"; //!< "whole", "unsigned", "cut", "reset", "open" or "error".
};

struct EndpointSettings
{
  common::Address listen_;
  common::Address daemonControl_; //!< Control address of the daemon beside it.
  std::string service_;
  std::string instanceId_;
  std::uint32_t slots_ = 9;
};

//! An application endpoint of the users' platform. It sends heartbeats to its daemon, echoes
//! request ids, signs its answers and refuses requests for another instance id. `/runs` reports how
//! often each request ran.
class EndpointServer
{
public:
  EndpointServer(common::EventLoop& aLoop, const EndpointSettings& aSettings);

  const common::Address& ListeningAddress() const { return server_.BoundAddress(); }

private:
  struct ActiveRequest;

  void OnRequest(http::ServerExchange& aExchange);
  //! Handles `/runs` and `/control`; false for any other path.
  bool HandleTestRequest(http::ServerExchange& aExchange, const http::Request& aRequest);
  void SetBehaviour(const std::string& aText);
  void StartRequest(http::ServerExchange& aExchange, const http::Request& aRequest);
  //! The headers by which it states its limit and that it is leaving.
  http::Headers NoticeHeaders() const;
  void Answer(const std::shared_ptr<ActiveRequest>& aActiveRequest);
  void SendHeartbeat();
  void SendLeave();

  common::EventLoop& loop_;
  EndpointSettings settings_;
  EndpointBehaviour behaviour_;
  http::Server server_;
  platform::HttpClient daemon_;
  std::uint64_t startedAtMs_;
  std::uint64_t sequence_ = 0;
  std::map<std::string, std::uint64_t> runs_; //!< Number of runs by request id.
  std::vector<std::uint64_t> arrivals_;       //!< Times of the runs, in ms since the start.
  std::uint64_t acknowledged_ = 0;            //!< Heartbeats and leaves that the daemon accepted.
  std::unique_ptr<common::Watch> heartbeatTimer_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_endpoint_EndpointServer_h
