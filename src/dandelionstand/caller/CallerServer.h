#ifndef dandelionstand_caller_CallerServer_h
#define dandelionstand_caller_CallerServer_h

#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/config/ConfigState.h"

#include <sigc++/trackable.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

struct evhttp_request;

namespace dandelionstand::common {
class Counters;
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::peer {
class EndpointDirectory;
class Transport;
struct PeerRef;
} // namespace dandelionstand::peer

namespace dandelionstand::peer::wire {
class AnswerBody;
class AnswerEnd;
class AnswerFailed;
class AnswerHead;
class CallStart;
class Envelope;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::caller {

struct CallerServerSettings
{
  common::Address listen_;
  std::uint64_t maxBodyBytes_ = 1024 * 1024;
  std::uint64_t maxHeaderBytes_ = 16 * 1024;
  std::uint64_t seed_ = 1; //!< Of the choice of endpoints.
};

//! Takes HTTP requests from callers, sends them to an endpoint and streams the answers back.
class CallerServer : public sigc::trackable
{
public:
  //! Reads the configuration in force; null while there is none to serve by.
  using ConfigSource = std::function<config::ConfigStatePtr()>;

  CallerServer(common::EventLoop& aLoop,
               common::Counters& aCounters,
               peer::Transport& aTransport,
               const peer::EndpointDirectory& aDirectory,
               ConfigSource aConfig,
               const CallerServerSettings& aSettings);
  ~CallerServer();

  const common::Address& BoundAddress() const { return server_.BoundAddress(); }
  //! Refuses new requests as not run; those in flight go on.
  void StartDrain() { isDraining_ = true; }
  std::size_t InFlight() const { return calls_.size(); }

private:
  struct Call;

  void OnRequest(evhttp_request* aRequest);
  void StartCall(
    evhttp_request* aRequest,
    const std::string& aMethod,
    const config::ConfigState& aConfig,
    const std::pair<const config::RouteName, config::Versioned<config::Route>>& aRoute);
  void OnEnvelope(const peer::PeerRef& aFrom, const peer::wire::Envelope& aEnvelope);
  void OnHead(const peer::wire::AnswerHead& aHead);
  void OnBody(const peer::wire::AnswerBody& aBody);
  void OnEnd(const peer::wire::AnswerEnd& aEnd);
  void OnFailed(const peer::wire::AnswerFailed& aFailed);
  void OnTimeout(std::uint64_t aRequestId);
  static void OnCallerGone(evhttp_request* aRequest, void* aCall);
  void Refuse(evhttp_request* aRequest, int aStatus, const char* aReason, const char* aRun);
  Call* Find(std::uint64_t aRequestId);

  common::EventLoop& loop_;
  common::Counters& counters_;
  peer::Transport& transport_;
  const peer::EndpointDirectory& directory_;
  ConfigSource config_;
  common::HttpServer server_;
  std::mt19937_64 random_;
  bool isDraining_ = false;
  std::uint64_t lastRequestId_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Call>> calls_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_CallerServer_h
