#ifndef dandelionstand_load_Publisher_h
#define dandelionstand_load_Publisher_h

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/platform/HttpLog.h"

#include <cstdint>

namespace dandelionstand::load {

//! A version that the log has taken.
struct PublishedVersion
{
  common::Version version_;
  std::uint64_t sentAtMs_ = 0;    //!< When the append was sent, since the Unix epoch.
  std::uint64_t recordBytes_ = 0; //!< Length of the record in the log.
};

//! Publishes configurations to an empty log of which it is the only operator.
class Publisher
{
public:
  Publisher(common::EventLoop& aLoop, const common::Address& aLog);

  //! Appends the difference to the configuration published before and runs the loop until the log
  //! has answered; throws std::runtime_error if it refuses for long.
  PublishedVersion Publish(const config::ConfigState& aDocument);

private:
  platform::AppendResult Append(const std::string& aRecord);
  platform::AppendResult AppendWithRetries(const std::string& aRecord);

  common::EventLoop& loop_;
  common::Counters counters_;
  platform::HttpLog log_;
  config::ConfigStatePtr state_ = std::make_shared<const config::ConfigState>();
  std::uint64_t count_ = 0;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_Publisher_h
