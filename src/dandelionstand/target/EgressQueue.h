#ifndef dandelionstand_target_EgressQueue_h
#define dandelionstand_target_EgressQueue_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/peer/Transport.h"
#include "dandelionstand/peer/generated/envelope.pb.h"
#include "dandelionstand/target/AttemptKey.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace dandelionstand::target {

//! Holds the bodies of large answers back so that small messages find the link of this instance
//! free.
//!
//! Designed for downloads that fill the link. Everything that leaves the instance passes through
//! one queue of the network, so heartbeats and small answers would otherwise arrive behind
//! megabytes of bodies: calls time out, and peers take the daemon for dead. Small messages are sent
//! at once and only counted; bodies get the rest of the bandwidth, one answer after the other.
class EgressQueue
{
public:
  //! A part of an answer that waits for bandwidth.
  struct Part
  {
    peer::PeerRef recipient_;
    AttemptKey key_;
    peer::wire::Envelope envelope_;
    std::size_t bytes_ = 0; //!< Size of the body data.
    bool isLast_ = false;   //!< The answer is complete with this part.
    std::string route_;     //!< Set for the last part, whose load report is filled in when sent.
  };

  //! nullopt: the bandwidth is unlimited, and parts never wait.
  explicit EgressQueue(std::optional<std::uint64_t> aBytesPerSecond)
    : bytesPerSecond_(aBytesPerSecond)
  {
  }

  bool IsLimited() const { return bytesPerSecond_.has_value(); }
  //! Counts bytes that left this instance, parts of the queue included.
  void RecordSent(std::size_t aBytes, common::TimePoint aNow);
  //! Counts aBytes as waiting for an answer that the target is still working on. Its parts replace
  //! them.
  void Reserve(const AttemptKey& aKey, std::size_t aBytes);
  //! Ends the reservation of an answer of which no more parts follow.
  void ReleaseReservation(const AttemptKey& aKey);
  void Push(Part aPart);
  //! Returns the next part if there is bandwidth for it. RecordSent() must be called once it is
  //! sent.
  std::optional<Part> TakeDue(common::TimePoint aNow);
  //! Removes all parts and the reservation of an answer.
  void Drop(const AttemptKey& aKey);

  bool IsEmpty() const { return answers_.empty(); }
  bool Contains(const AttemptKey& aKey) const;
  //! Number of answers that are not sent completely.
  std::size_t AnswerCount() const { return answers_.size(); }
  std::size_t QueuedBytes() const { return queuedBytes_; }
  std::size_t ReservedBytes() const { return totalReservedBytes_; }
  //! Bytes that left this instance since the start.
  std::uint64_t SentBytes() const { return sentBytes_; }
  //! Time until aBytes more have left, behind everything that waits already; 0 if unlimited.
  common::Duration TimeToSend(std::size_t aBytes, common::TimePoint aNow) const;
  //! Time at which there is bandwidth for the next part.
  common::TimePoint NextDue() const { return freeAt_; }

private:
  struct Answer
  {
    AttemptKey key_;
    std::deque<Part> parts_;
  };

  common::Duration SendTime(std::size_t aBytes) const;
  //! Reduces the reservation of an answer by aBytes at most.
  void ReleaseReserved(const AttemptKey& aKey, std::size_t aBytes);

  std::optional<std::uint64_t> bytesPerSecond_;
  std::deque<Answer> answers_; //!< In order of their first part.
  std::size_t queuedBytes_ = 0;
  std::uint64_t sentBytes_ = 0;
  std::map<AttemptKey, std::size_t> reservedBytes_;
  std::size_t totalReservedBytes_ = 0;
  common::TimePoint freeAt_; //!< The link has carried everything sent so far by then.
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_EgressQueue_h
