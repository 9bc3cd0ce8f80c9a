#ifndef dandelionstand_peer_EndpointDirectory_h
#define dandelionstand_peer_EndpointDirectory_h

#include "dandelionstand/common/Ids.h"

#include <vector>

namespace dandelionstand::peer {

//! A daemon whose target is ready to serve a service.
struct Endpoint
{
  common::InstanceId instance_;
  common::Incarnation incarnation_;
  common::Address address_;
  common::FailureDomain failureDomain_;
  common::Region region_;
  //! See Member::acceptsDeferredBodies_.
  bool acceptsDeferredBodies_ = false;

  bool operator==(const Endpoint&) const = default;
};

//! Looks up the ready endpoints of a service.
class EndpointDirectory
{
public:
  virtual ~EndpointDirectory();

  virtual std::vector<Endpoint> EndpointsOf(const common::ServiceName& aService) const = 0;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_EndpointDirectory_h
