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

namespace dandelionstand::standins {

//! What a test makes an endpoint do; set through POST /control.
struct EndpointBehaviour
{
  std::string state_ = "ready";  //!< "ready", "draining", "gone" (has said that it leaves).
  common::Duration work_{ 0 };   //!< Time that a request takes.
  bool sheds_ = false;           //!< Refuses every request as not executed.
  bool isSilent_ = false;        //!< Sends no heartbeats.
  std::string answer_ = "whole"; //!< "whole", "unsigned", "cut", "reset", "open" or "error".
};

struct EndpointSettings
{
  common::Address listen_;
  common::Address control_; //!< Of the daemon beside it.
  std::string service_;
  std::string id_;
  std::uint32_t slots_ = 9;
};

//! An application endpoint of the users' platform: heartbeats to its daemon, request ids echoed,
//! signatures, the id of its start checked. `/runs` lists what it ran, by request id.
class EndpointServer
{
public:
  EndpointServer(common::EventLoop& aLoop, const EndpointSettings& aSettings);

  const common::Address& ListeningAddress() const { return server_.BoundAddress(); }

private:
  struct Work;

  void OnRequest(http::ServerExchange& aExchange);
  bool OnOwnPath(http::ServerExchange& aExchange, const http::Request& aRequest);
  void SetBehaviour(const std::string& aText);
  void Start(http::ServerExchange& aExchange, const http::Request& aRequest);
  void Answer(const std::shared_ptr<Work>& aWork);
  void Beat();
  void Leave();

  common::EventLoop& loop_;
  EndpointSettings settings_;
  EndpointBehaviour behaviour_;
  http::Server server_;
  platform::HttpClient daemon_;
  std::uint64_t born_;
  std::uint64_t sequence_ = 0;
  std::map<std::string, std::uint64_t> runs_; //!< By request id.
  std::uint64_t acknowledged_ = 0;            //!< Reports that the daemon took.
  std::unique_ptr<common::Watch> beat_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_endpoint_EndpointServer_h
