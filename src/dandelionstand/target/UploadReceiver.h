#ifndef dandelionstand_target_UploadReceiver_h
#define dandelionstand_target_UploadReceiver_h

#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/peer/generated/call.pb.h"
#include "dandelionstand/target/AdmissionQueue.h"
#include "dandelionstand/target/EgressSettings.h"
#include "dandelionstand/target/IncomingBody.h"
#include "dandelionstand/target/IngressQueue.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstand::common {
class Counters;
} // namespace dandelionstand::common

namespace dandelionstand::target {

//! Receives the bodies of calls that were announced without them, and hands a call on once its body
//! is complete. Until then the call cannot run, so it is always refused as not run.
class UploadReceiver
{
public:
  struct Upload
  {
    peer::PeerRef callerDaemon_;
    Work work_;
    peer::wire::CallStart start_;
  };
  //! Called with a call whose body is complete.
  using CompleteHandler = std::function<void(Upload)>;
  //! Called with a call that is refused.
  using RefuseHandler = std::function<void(const Upload&, std::string_view aReason)>;

  UploadReceiver(common::Counters& aCounters,
                 peer::Transport& aTransport,
                 const EgressSettings& aLink,
                 CompleteHandler aOnComplete,
                 RefuseHandler aOnRefused);

  void Start(Upload aUpload, common::TimePoint aNow);
  void OnBody(const AttemptKey& aKey, const peer::wire::CallBody& aBody, common::TimePoint aNow);
  //! False if the attempt is not waiting for its body.
  bool Cancel(const AttemptKey& aKey);
  //! Refuses uploads for which aQueue cannot run a request in time any more, and requests bodies;
  //! to be called several times a second.
  void Tick(const AdmissionQueue& aQueue, common::TimePoint aNow);

  //! Size of the largest body that the configuration allows.
  void SetMaxBodyBytes(std::size_t aBytes) { maxBodyBytes_ = aBytes; }
  bool Contains(const AttemptKey& aKey) const { return pending_.contains(aKey); }
  std::size_t Count() const { return pending_.size(); }
  //! Time until a body of aBytes has arrived, if it is announced now.
  common::Duration TimeToReceive(std::size_t aBytes) const { return queue_.TimeToReceive(aBytes); }
  //! The same for the usual bodies of the route's requests; 0 if they are sent with the requests.
  common::Duration UsualTimeToReceive(const std::string& aRoute) const;

private:
  struct Pending
  {
    Upload upload_;
    IncomingBody body_;
  };

  //! Bodies of callers on this instance do not wait for the link.
  IngressQueue& QueueOf(const AttemptKey& aKey);
  void RequestBodies(common::TimePoint aNow);
  void RequestBody(const Pending& aPending, std::size_t aBytes);
  void Refuse(const AttemptKey& aKey, std::string_view aReason);

  common::Counters& counters_;
  peer::Transport& transport_;
  common::InstanceId instance_;
  CompleteHandler onComplete_;
  RefuseHandler onRefused_;
  IngressQueue queue_;
  IngressQueue localQueue_{ std::nullopt };
  std::size_t maxBodyBytes_ = 0;
  std::map<AttemptKey, Pending> pending_;
  std::size_t pendingBytes_ = 0;
  std::map<std::string, double> usualBytes_; //!< Moving average of announced bodies by route.
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_UploadReceiver_h
