#ifndef dandelionstand_target_AnswerSender_h
#define dandelionstand_target_AnswerSender_h

#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/peer/generated/call.pb.h"
#include "dandelionstand/target/AttemptKey.h"
#include "dandelionstand/target/EgressQueue.h"
#include "dandelionstand/target/EgressSettings.h"

#include <sigc++/signal.h>
#include <sigc++/trackable.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstand::common {
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::target {

//! Reason of an answer that failed since the link to the caller's daemon did not accept a part.
inline constexpr std::string_view kLinkFull = "link-full";

//! Sends the answers of attempts to the daemons of their callers, with the target's current load.
//! Large bodies wait until the link of this instance has bandwidth for them; see EgressQueue.
class AnswerSender : public sigc::trackable
{
public:
  //! Returns the current load, with the service time of requests of the route.
  using LoadSource = std::function<peer::wire::Load(const std::string& aRoute)>;

  AnswerSender(common::EventLoop& aLoop,
               peer::Transport& aTransport,
               EgressSettings aSettings,
               LoadSource aLoadSource);
  ~AnswerSender();

  //! Counts bytes that leave this instance other than through the transport.
  void RecordEgress(std::size_t aBytes);
  //! Time from the end of the target's answer until it has left this instance, as usual for the
  //! route's answers. 0 for small answers, which do not wait, and for callers on this instance.
  common::Duration TransferTime(const std::string& aRoute,
                                const common::InstanceId& aCallerInstance) const;
  //! Counts the usual size of the route's answers as waiting until the answer arrives.
  void Reserve(const std::string& aRoute, const AttemptKey& aKey);
  //! The target's answer has ended, or it gives none.
  void ReleaseReservation(const AttemptKey& aKey) { queue_.ReleaseReservation(aKey); }
  //! Discards what waits of an answer.
  void Drop(const AttemptKey& aKey);
  //! Number of answers that are not sent completely.
  std::size_t QueuedCount() const { return queue_.AnswerCount() + unsentAnswers_.size(); }
  const EgressQueue& Egress() const { return queue_; }
  //! Emitted from the event loop after the link has accepted no part of an answer for too long. The
  //! caller's daemon is told that the answer failed; the rest of it is not needed.
  sigc::signal<void, const AttemptKey&>& AnswerLost() { return answerLost_; }

  //! Each sends a part of an answer. What the link does not accept waits, in order; the caller's
  //! daemon bounds it by its credit. False if too much waits: the answer has to be ended by
  //! SendFailed() then.
  bool SendHead(const peer::PeerRef& aRecipient,
                const AttemptKey& aKey,
                peer::wire::AnswerHead aHead);
  bool SendBody(const peer::PeerRef& aRecipient,
                const AttemptKey& aKey,
                peer::wire::AnswerBody aBody);
  //! Each ends the answer. The caller's daemon waits for this message, so it is sent again for some
  //! seconds if the link does not accept it.
  void SendEnd(const peer::PeerRef& aRecipient,
               const AttemptKey& aKey,
               const std::string& aRoute,
               peer::wire::AnswerEnd aEnd);
  void SendFailed(const peer::PeerRef& aRecipient,
                  const AttemptKey& aKey,
                  const std::string& aRoute,
                  std::string_view aReason,
                  peer::wire::RunState aRunState,
                  bool aDeep = false);

private:
  //! The rest of an answer, which the link has not accepted yet.
  struct UnsentAnswer
  {
    AttemptKey key_;
    std::deque<EgressQueue::Part> parts_;
    common::Duration retryDelay_;
    common::TimePoint retryAt_;
    common::TimePoint expiresAt_; //!< Unless a part is accepted before.
  };

  //! Usual size of the route's answers if they wait for bandwidth; 0 otherwise.
  std::size_t WaitingBytes(const std::string& aRoute,
                           const common::InstanceId& aCallerInstance) const;
  //! Sends at once, or behind the parts of the same answer that wait.
  bool SendPart(EgressQueue::Part aPart, bool aMayWait);
  //! Sends the part now, or later if the link is full. False if too much waits already.
  bool Transmit(EgressQueue::Part aPart);
  bool TryTransmit(EgressQueue::Part& aPart);
  //! Ends an answer of which a part was not accepted by the link.
  void LoseAnswer(const EgressQueue::Part& aPart);
  void RetryUnsentAnswers();
  //! Sends what the link accepts. False if the answer needs no more attempts.
  bool RetryUnsent(UnsentAnswer& aAnswer, common::TimePoint aNow);
  void ScheduleRetry();
  void SendDue();
  void ScheduleSending();

  common::EventLoop& loop_;
  peer::Transport& transport_;
  EgressSettings settings_;
  LoadSource loadSource_;
  EgressQueue queue_;
  std::map<std::string, double> answerBytes_; //!< Moving average of answer sizes by route.
  std::vector<UnsentAnswer> unsentAnswers_;
  std::size_t unsentBytes_ = 0;         //!< Memory of unsentAnswers_.
  std::vector<AttemptKey> lostAnswers_; //!< AnswerLost() is to be emitted for them.
  sigc::signal<void, const AttemptKey&> answerLost_;
  bool isSendingLocally_ = false;
  std::unique_ptr<common::Watch> sendTimer_;
  std::unique_ptr<common::Watch> retryTimer_;
  std::unique_ptr<common::Watch> lostTimer_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_AnswerSender_h
