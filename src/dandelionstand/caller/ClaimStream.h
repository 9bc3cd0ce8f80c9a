#ifndef dandelionstand_caller_ClaimStream_h
#define dandelionstand_caller_ClaimStream_h

#include "dandelionstand/caller/Claims.h"

#include <functional>
#include <memory>

namespace dandelionstand::platform {
class Log;
} // namespace dandelionstand::platform

namespace dandelionstand::caller {

//! Runs the Claims of one shard on its stream of the log.
class ClaimStream
{
public:
  //! Takes each ClaimWon, ClaimLost and ClaimRefused.
  using Decided = std::function<void(const ClaimAction&)>;

  ClaimStream(platform::Log& aLog,
              platform::StreamName aStream,
              ClaimSettings aSettings,
              Decided aDecided);

  void Claim(ClaimNumber aNumber, const KeyHash& aKey);
  void Release(ClaimNumber aNumber);
  void Tick();

  const Claims& State() const { return claims_; }

private:
  void Perform(const ClaimActions& aActions);

  platform::Log& log_;
  platform::StreamName stream_;
  Claims claims_;
  Decided decided_;
  //! Results of the log that come after the end of this object are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_ClaimStream_h
