#ifndef dandelionstand_caller_KeyedRequest_h
#define dandelionstand_caller_KeyedRequest_h

#include "dandelionstand/caller/AnswerSink.h"
#include "dandelionstand/caller/Claims.h"
#include "dandelionstand/caller/WireCalls.h"
#include "dandelionstand/peer/Transport.h"

#include <functional>
#include <memory>
#include <vector>

namespace dandelionstand::common {
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::caller {

//! Another daemon that waits for the outcome of a request whose key this daemon holds.
struct OutcomeRequester
{
  peer::PeerRef peer_;
  common::Incarnation incarnation_;
  std::uint64_t questionId_ = 0;
};

//! Outcome of a keyed request: an answer or a refusal.
struct RequestOutcome
{
  bool isAnswered_ = false;
  std::uint32_t status_ = 0;
  Headers headers_;
  std::string body_;
  Refusal refusal_; //!< Valid unless isAnswered_.

  void DeliverTo(AnswerSink& aSink) const;
};

//! A request with an idempotency key on the daemon that received it. Lives from the claim until its
//! outcome is no longer retained for repeats.
class KeyedRequest : public AnswerSink
{
public:
  enum class State
  {
    kClaiming,       //!< The claim is undecided.
    kRunning,        //!< The claim is won and the call is in progress.
    kQueryingHolder, //!< Another daemon holds the key; the outcome was requested from it.
    kCompleted,      //!< The outcome is final, even if it is unknown whether the request ran.
  };

  //! Larger answers are replaced by a refusal, since outcomes are retained in memory.
  static constexpr std::size_t kMaxAnswerBytes = 1024UL * 1024;

  //! Called with the size of each body part received, so that the call grants new credit.
  using ConsumedHandler = std::function<void(std::uint32_t)>;
  using CompletionHandler = std::function<void(KeyedRequest&)>;

  KeyedRequest(KeyHash aKey,
               ClaimNumber aNumber,
               ConsumedHandler aOnConsumed,
               CompletionHandler aOnCompleted);
  ~KeyedRequest() override;

  void SendHead(std::uint32_t aStatus, const Headers& aHeaders) override;
  void SendBody(const std::string& aData) override;
  void Finish() override;
  void Refuse(const Refusal& aRefusal) override;
  void Abort(const std::string& aReason) override;

  //! Delivers the outcome to all waiting sinks.
  void Deliver();
  void RemoveSink(const AnswerSink& aSink);

  KeyHash key_;
  ClaimNumber number_;
  State state_ = State::kClaiming;
  CallRoute route_;
  CallerRequest request_;
  CallPlan plan_;
  common::RequestId callId_;     //!< Valid while kRunning.
  std::uint64_t questionId_ = 0; //!< Valid while kQueryingHolder.
  ClaimHolder holder_;           //!< Valid while kQueryingHolder.
  RequestOutcome outcome_;
  common::TimePoint completedAt_;
  std::vector<AnswerSink*> sinks_;           //!< Callers that wait for the outcome.
  std::vector<OutcomeRequester> requesters_; //!< Daemons that wait for the outcome.
  std::unique_ptr<common::Watch> queryTimer_;

private:
  ConsumedHandler onConsumed_;
  CompletionHandler onCompleted_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_KeyedRequest_h
