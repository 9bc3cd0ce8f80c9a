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

//! Runs requests with an idempotency key at most once: each key is claimed in the log before its
//! request runs, and a repeat gets the outcome of the first request, as far as it is known.
class KeyedRequests : public sigc::trackable
{
public:
  //! Starts the call of a request whose claim was won; the request is the sink of the answer.
  using StartCall = std::function<void(KeyedRequest&)>;
  //! Reports to a running call that bytes of the answer's body were consumed.
  using ConsumedHandler = std::function<void(common::RequestId, std::uint32_t)>;

  KeyedRequests(common::EventLoop& aLoop,
                common::Counters& aCounters,
                peer::Transport& aTransport,
                platform::Log& aLog,
                ClaimSettings aSettings,
                StartCall aStartCall,
                ConsumedHandler aOnConsumed);
  ~KeyedRequests();

  //! Runs the request unless its key is already claimed; delivers the outcome to aSink.
  void Submit(CallRoute aRoute, CallerRequest aRequest, const CallPlan& aPlan, AnswerSink& aSink);
  //! Stops delivery to aSink. Its request continues, so that a repeat gets the answer.
  void Detach(const AnswerSink& aSink);

  //! Number of requests without an outcome.
  std::size_t OpenCount() const { return openCount_; }
  //! Number of requests held: open ones, and those whose outcome is retained for repeats.
  std::size_t RememberedCount() const { return requests_.size(); }

private:
  //! Claim numbers are unique within a shard only.
  struct ShardClaim
  {
    std::uint64_t shard_ = 0;
    ClaimNumber number_;

    auto operator<=>(const ShardClaim&) const = default;
  };

  void OnClaimDecision(std::uint64_t aShard, const ClaimAction& aAction);
  void OnClaimWon(KeyedRequest& aKeyedRequest);
  void OnClaimLost(KeyedRequest& aKeyedRequest, const ClaimHolder& aHolder);
  void OnCompleted(KeyedRequest& aKeyedRequest);
  void QueryHolder(KeyedRequest& aKeyedRequest);
  void OnEnvelope(const peer::PeerRef& aFrom, const peer::wire::Envelope& aEnvelope);
  void OnQuestion(const OutcomeRequester& aRequester, const peer::wire::ClaimQuestion& aQuestion);
  void OnAnswer(const peer::wire::ClaimAnswer& aAnswer);
  void OnLinkLost(const common::Address& aAddress);
  void SendOutcome(const OutcomeRequester& aRequester, const RequestOutcome& aOutcome);
  void DeliverAndRemove(KeyedRequest& aKeyedRequest, const RequestOutcome& aOutcome);
  ClaimStream& StreamOf(std::uint64_t aShard);
  //! Returns the request of an undecided claim, or null, and removes the claim from keysByClaim_.
  KeyedRequest* ExtractByClaim(const ShardClaim& aClaim);
  void Tick();

  common::EventLoop& loop_;
  common::Counters& counters_;
  peer::Transport& transport_;
  platform::Log& log_;
  ClaimSettings settings_;
  StartCall startCall_;
  ConsumedHandler onConsumed_;
  std::map<std::uint64_t, std::unique_ptr<ClaimStream>> streams_;
  std::map<KeyHash, std::unique_ptr<KeyedRequest>> requests_;
  std::map<ShardClaim, KeyHash> keysByClaim_; //!< Keys of the undecided claims.
  //! Removed requests that callers further up the stack may still use; destroyed by the next turn
  //! of the event loop.
  std::vector<std::unique_ptr<KeyedRequest>> removedRequests_;
  std::unique_ptr<common::Watch> cleanupTimer_;
  std::unique_ptr<common::Watch> tickTimer_;
  std::map<std::uint64_t, std::uint64_t> lastClaimNumbers_; //!< By shard.
  std::uint64_t lastQuestionId_ = 0;
  std::size_t openCount_ = 0;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_KeyedRequests_h
