#ifndef dandelionstand_peer_LogDirectory_h
#define dandelionstand_peer_LogDirectory_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/peer/EndpointDirectory.h"
#include "dandelionstand/peer/generated/membership.pb.h"

#include <map>
#include <memory>

namespace dandelionstand::common {
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::platform {
class Log;
struct ReadResult;
} // namespace dandelionstand::platform

namespace dandelionstand::peer {

//! Membership by the log alone: each daemon appends join records and reads those of all others.
class LogDirectory : public EndpointDirectory
{
public:
  LogDirectory(common::EventLoop& aLoop, platform::Log& aLog, wire::Member aSelf);
  ~LogDirectory() override;

  std::vector<Endpoint> EndpointsOf(const common::ServiceName& aService) const override;

  //! Makes the own target known for a service; an empty name withdraws it.
  void Announce(const common::ServiceName& aService);
  //! Tells the others that this daemon leaves.
  void Leave();

private:
  struct Entry
  {
    wire::Member member_;
    common::TimePoint heard_;
  };

  void AppendSelf();
  void ReadNext();
  void OnRead(const platform::ReadResult& aResult);
  void Take(const wire::Member& aMember);

  common::EventLoop& loop_;
  platform::Log& log_;
  wire::Member self_;
  common::Offset next_{ 1 };
  std::map<common::InstanceId, Entry> entries_;
  std::unique_ptr<common::Watch> refresh_;
  std::unique_ptr<common::Watch> again_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_LogDirectory_h
