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

//! Another daemon that waits for the outcome of a request whose claim is ours.
struct OutcomeRequester
{
  peer::PeerRef peer_;
  common::Incarnation incarnation_;
  std::uint64_t question_ = 0;
};

//! What became of a keyed request: an answer or a refusal.
struct RequestOutcome
{
  bool isAnswered_ = false;
  std::uint32_t status_ = 0;
  Headers headers_;
  std::string body_;
  Refusal refusal_; //!< Valid unless answered.

  void DeliverTo(AnswerSink& aSink) const;
};

//! One keyed request on the daemon that took it, from the claim to the end of the window.
class KeyedRequest : public AnswerSink
{
public:
  enum class State
  {
    kClaiming, //!< Waits for the log.
    kRunning,  //!< The claim is ours; the call is under way.
    kAsking,   //!< Another daemon holds the claim and was asked.
    kOver,     //!< The outcome is known, as far as it will be.
  };

  //! Larger answers of keyed requests are not kept.
  static constexpr std::size_t kMaxAnswerBytes = 1024UL * 1024;

  using Taken = std::function<void(std::uint32_t)>;
  using Over = std::function<void(KeyedRequest&)>;

  KeyedRequest(KeyHash aKey, ClaimNumber aNumber, Taken aTaken, Over aOver);
  ~KeyedRequest() override;

  void SendHead(std::uint32_t aStatus, const Headers& aHeaders) override;
  void SendBody(const std::string& aData) override;
  void Finish() override;
  void Refuse(const Refusal& aRefusal) override;
  void Abort(const std::string& aReason) override;

  //! Gives the outcome to everyone who waits.
  void Deliver();
  void RemoveWaiter(const AnswerSink& aSink);

  KeyHash key_;
  ClaimNumber number_;
  State state_ = State::kClaiming;
  CallRoute route_;
  CallerRequest request_;
  CallPlan plan_;
  common::RequestId call_; //!< Of the call while it runs.
  std::uint64_t question_ = 0;
  ClaimHolder holder_;
  RequestOutcome outcome_;
  common::TimePoint overAt_;
  std::vector<AnswerSink*> waiters_;
  std::vector<OutcomeRequester> askers_;
  std::unique_ptr<common::Watch> timer_;

private:
  Taken taken_;
  Over over_;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_KeyedRequest_h
