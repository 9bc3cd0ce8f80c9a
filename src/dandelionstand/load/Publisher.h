#ifndef dandelionstand_load_Publisher_h
#define dandelionstand_load_Publisher_h

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/platform/HttpLog.h"

#include <cstdint>

namespace dandelionstand::load {

//! A configuration version that was appended to the log.
struct PublishedVersion
{
  common::Version version_;
  std::uint64_t sentAtMs_ = 0; //!< When the append was sent, in milliseconds since the Unix epoch.
  std::uint64_t recordBytes_ = 0; //!< Length of the encoded record.
};

//! Publishes configurations to a log that is empty at first and has no other publisher.
class Publisher
{
public:
  Publisher(common::EventLoop& aLoop, const common::Address& aLog);

  //! Appends the changes since the previously published configuration and runs the loop until the
  //! log has answered. Throws std::runtime_error if the append still fails after the retries or if
  //! the configuration is invalid.
  PublishedVersion Publish(const config::ConfigState& aConfig);

private:
  platform::AppendResult Append(const std::string& aRecord);
  platform::AppendResult AppendWithRetries(const std::string& aRecord);

  common::EventLoop& loop_;
  common::Counters counters_;
  platform::HttpLog log_;
  config::ConfigStatePtr publishedState_ = std::make_shared<const config::ConfigState>();
  std::uint64_t publishCount_ = 0;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_Publisher_h
