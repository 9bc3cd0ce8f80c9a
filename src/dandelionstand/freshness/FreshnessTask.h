#ifndef dandelionstand_freshness_FreshnessTask_h
#define dandelionstand_freshness_FreshnessTask_h

#include "dandelionstand/freshness/FreshnessSource.h"
#include "dandelionstand/freshness/FreshnessTracker.h"
#include "dandelionstand/peer/ControlSender.h"

#include <sigc++/trackable.h>

#include <functional>
#include <memory>
#include <string>

namespace dandelionstand::common {
class Counters;
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::peer::wire {
class FreshnessQuery;
class FreshnessReply;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::freshness {

//! Runs a FreshnessTracker on the event loop and answers the queries of peers.
class FreshnessTask
  : public FreshnessSource
  , public sigc::trackable
{
public:
  struct Handlers
  {
    //! Reads the store without a wait; its answer leads to OnStoreRead().
    std::function<void()> readStore_;
    //! A peer has a version above the active one.
    std::function<void(const common::Address&, common::Version)> onPeerVersion_;
  };

  FreshnessTask(common::EventLoop& aLoop,
                common::Counters& aCounters,
                peer::ControlSender& aSender,
                peer::Transport& aTransport,
                FreshnessTracker aTracker,
                Handlers aHandlers);
  ~FreshnessTask() override;

  bool IsFresh() const override;
  std::optional<common::Duration> Age() const override;

  void SetMembers(const peer::Members& aMembers) { tracker_.SetMembers(aMembers); }
  void OnVersionActive(common::Version aVersion) { tracker_.OnVersionActive(aVersion); }
  void OnStoreRead(common::TimePoint aStartedAt);
  //! Where the newest proof came from: an address, "store", or empty.
  const std::string& ProofOrigin() const { return proofOrigin_; }

private:
  void OnEnvelope(const peer::PeerRef& aFrom, const peer::wire::Envelope& aEnvelope);
  void Answer(const peer::PeerRef& aTo, const peer::wire::FreshnessQuery& aQuery);
  void OnReply(const common::Address& aSender, const peer::wire::FreshnessReply& aReply);
  void Tick();

  common::Counters& counters_;
  peer::ControlSender& sender_;
  peer::Transport& transport_;
  FreshnessTracker tracker_;
  Handlers handlers_;
  std::string proofOrigin_;
  bool wasFresh_ = false;
  std::unique_ptr<common::Watch> tick_;
};

} // namespace dandelionstand::freshness

#endif // dandelionstand_freshness_FreshnessTask_h
