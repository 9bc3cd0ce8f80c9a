#ifndef dandelionstand_target_ForwardedCall_h
#define dandelionstand_target_ForwardedCall_h

#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/peer/generated/envelope.pb.h"

#include <xxhash.h>

#include <cstdint>
#include <functional>
#include <memory>

struct evhttp_connection;
struct evhttp_request;

namespace dandelionstand::common {
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::target {

//! One attempt that was handed to the target over HTTP; streams the answer back on its link.
class ForwardedCall
{
public:
  using Finished = std::function<void(const ForwardedCall*)>;

  ForwardedCall(common::EventLoop& aLoop,
                peer::Transport& aTransport,
                peer::PeerRef aFrom,
                const peer::wire::CallStart& aStart,
                const common::HostAndPort& aTarget,
                Finished aFinished);
  ~ForwardedCall();
  ForwardedCall(const ForwardedCall&) = delete;
  ForwardedCall& operator=(const ForwardedCall&) = delete;

private:
  static int OnHead(evhttp_request* aRequest, void* aSelf);
  static void OnData(evhttp_request* aRequest, void* aSelf);
  static void OnDone(evhttp_request* aRequest, void* aSelf);
  void SendHead(evhttp_request* aRequest);
  void SendData(evhttp_request* aRequest);
  void SendEnd();
  void SendFailed();
  void Finish();

  common::EventLoop& loop_;
  peer::Transport& transport_;
  peer::PeerRef from_;
  std::uint64_t requestId_;
  std::uint32_t attempt_;
  Finished finished_;
  evhttp_connection* connection_;
  std::unique_ptr<common::Watch> finishLater_;
  XXH3_state_t* hash_;
  bool hasHead_ = false;
  std::uint64_t sequence_ = 0;
  std::uint64_t length_ = 0;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_ForwardedCall_h
