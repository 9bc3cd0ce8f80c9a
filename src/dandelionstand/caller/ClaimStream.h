#ifndef dandelionstand_caller_ClaimStream_h
#define dandelionstand_caller_ClaimStream_h

#include "dandelionstand/caller/Claims.h"

#include <functional>
#include <memory>

namespace dandelionstand::platform {
class Log;
} // namespace dandelionstand::platform

namespace dandelionstand::caller {

//! Connects the Claims of one shard to their stream of the log.
class ClaimStream
{
public:
  //! Called with each ClaimWon, ClaimLost and ClaimRefused.
  using DecisionHandler = std::function<void(const ClaimAction&)>;

  ClaimStream(platform::Log& aLog,
              platform::StreamName aStream,
              ClaimSettings aSettings,
              DecisionHandler aOnDecision);

  void Claim(ClaimNumber aNumber, const KeyHash& aKey);
  void Release(ClaimNumber aNumber);
  void Tick();

  const Claims& GetClaims() const { return claims_; }

private:
  void Perform(const ClaimActions& aActions);

  platform::Log& log_;
  platform::StreamName stream_;
  Claims claims_;
  DecisionHandler onDecision_;
  //! Expires with this object; log callbacks that run later are ignored.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_ClaimStream_h
