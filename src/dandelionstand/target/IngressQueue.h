#ifndef dandelionstand_target_IngressQueue_h
#define dandelionstand_target_IngressQueue_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/target/AttemptKey.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace dandelionstand::target {

//! Decides when the bodies of uploads are requested from the daemons of their callers.
//!
//! Designed for uploads that fill the link of the target's instance. A body that is sent along with
//! its request arrives whether or not the target can run it, and all small messages to the instance
//! wait behind it: calls to the target, and the answers of the calls that it makes. Bodies are
//! therefore requested in pieces, in the order in which they were announced, and only as many bytes
//! as the link carries in a short time are on their way.
class IngressQueue
{
public:
  //! Allows the caller's daemon to send more of a body.
  struct Grant
  {
    AttemptKey key_;
    std::size_t bytes_ = 0;

    bool operator==(const Grant&) const = default;
  };

  //! nullopt: the bandwidth is unlimited.
  explicit IngressQueue(std::optional<std::uint64_t> aBytesPerSecond);

  void Add(const AttemptKey& aKey, std::size_t aBytes, common::TimePoint aNow);
  void OnReceived(const AttemptKey& aKey, std::size_t aBytes, common::TimePoint aNow);
  void Remove(const AttemptKey& aKey);
  //! Returns what may be sent now and counts it as on its way.
  std::vector<Grant> TakeGrants(common::TimePoint aNow);
  //! Time until aBytes more have arrived, behind everything that was announced before; 0 if
  //! unlimited.
  common::Duration TimeToReceive(std::size_t aBytes) const;

private:
  struct Upload
  {
    AttemptKey key_;
    std::size_t ungrantedBytes_ = 0;
    std::size_t grantedBytes_ = 0; //!< That have not arrived yet.
    common::TimePoint lastProgressAt_;
  };

  std::size_t BytesOnTheirWay(common::TimePoint aNow) const;

  std::optional<std::uint64_t> bytesPerSecond_;
  std::size_t windowBytes_;
  std::deque<Upload> uploads_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_IngressQueue_h
