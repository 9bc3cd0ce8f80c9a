#ifndef dandelionstand_caller_KeyedRequests_h
#define dandelionstand_caller_KeyedRequests_h

#include "dandelionstand/caller/ClaimStream.h"
#include "dandelionstand/caller/KeyedRequest.h"

#include <sigc++/trackable.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace dandelionstand::common {
class Counters;
class EventLoop;
} // namespace dandelionstand::common

namespace dandelionstand::peer::wire {
class ClaimAnswer;
class ClaimQuestion;
class Envelope;
} // namespace dandelionstand::peer::wire

namespace dandelionstand::caller {

//! Requests with an idempotency key: claimed in the log before they run, answered from memory when
//! they are repeated.
class KeyedRequests : public sigc::trackable
{
public:
  //! Starts the call of a won claim; its answer goes to the record.
  using StartCall = std::function<void(KeyedRequest&)>;
  //! Tells a running call that its caller took bytes.
  using Taken = std::function<void(common::RequestId, std::uint32_t)>;

  KeyedRequests(common::EventLoop& aLoop,
                common::Counters& aCounters,
                peer::Transport& aTransport,
                platform::Log& aLog,
                ClaimSettings aSettings,
                StartCall aStartCall,
                Taken aTaken);
  ~KeyedRequests();

  //! Runs the request unless its key was claimed before; the outcome goes to aSink.
  void Submit(CallRoute aRoute, CallerRequest aRequest, const CallPlan& aPlan, AnswerSink& aSink);
  //! aSink is gone; its request goes on, so that a repeat gets the answer.
  void Forget(const AnswerSink& aSink);

  //! Requests that are neither answered nor refused.
  std::size_t OpenCount() const { return open_; }
  std::size_t RememberedCount() const { return orders_.size(); }

private:
  //! Claim numbers are counted for each shard on its own.
  struct ShardNumber
  {
    std::uint64_t shard_ = 0;
    ClaimNumber number_;

    auto operator<=>(const ShardNumber&) const = default;
  };

  void OnDecided(std::uint64_t aShard, const ClaimAction& aAction);
  void OnWon(KeyedRequest& aOrder);
  void OnLost(KeyedRequest& aOrder, const ClaimHolder& aHolder);
  void OnOver(KeyedRequest& aOrder);
  void Ask(KeyedRequest& aOrder);
  void OnEnvelope(const peer::PeerRef& aFrom, const peer::wire::Envelope& aEnvelope);
  void OnQuestion(const OutcomeRequester& aAsker, const peer::wire::ClaimQuestion& aQuestion);
  void OnAnswer(const peer::wire::ClaimAnswer& aAnswer);
  void OnLinkLost(const common::Address& aAddress);
  void SendOutcome(const OutcomeRequester& aAsker, const RequestOutcome& aOutcome);
  void EndAsking(KeyedRequest& aOrder, const RequestOutcome& aOutcome);
  ClaimStream& StreamOf(std::uint64_t aShard);
  KeyedRequest* TakeNumber(const ShardNumber& aNumber);
  void Tick();

  common::EventLoop& loop_;
  common::Counters& counters_;
  peer::Transport& transport_;
  platform::Log& log_;
  ClaimSettings settings_;
  StartCall startCall_;
  Taken taken_;
  std::map<std::uint64_t, std::unique_ptr<ClaimStream>> streams_;
  std::map<KeyHash, std::unique_ptr<KeyedRequest>> orders_;
  std::map<ShardNumber, KeyHash> byNumber_; //!< Of orders that wait for the log.
  //! Ended orders that the present turn of the loop may still use.
  std::vector<std::unique_ptr<KeyedRequest>> ended_;
  std::unique_ptr<common::Watch> reaper_;
  std::unique_ptr<common::Watch> tick_;
  std::map<std::uint64_t, std::uint64_t> lastNumbers_; //!< By shard.
  std::uint64_t lastQuestion_ = 0;
  std::size_t open_ = 0;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_KeyedRequests_h
