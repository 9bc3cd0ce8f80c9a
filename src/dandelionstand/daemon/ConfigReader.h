#ifndef dandelionstand_daemon_ConfigReader_h
#define dandelionstand_daemon_ConfigReader_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/config/ConfigState.h"

#include <memory>

namespace dandelionstand::common {
class Counters;
class EventLoop;
class Watch;
} // namespace dandelionstand::common

namespace dandelionstand::platform {
class Log;
struct ReadResult;
struct Record;
} // namespace dandelionstand::platform

namespace dandelionstand::daemon {

//! Follows the configuration stream of the log and keeps the state in force.
class ConfigReader
{
public:
  ConfigReader(common::EventLoop& aLoop, common::Counters& aCounters, platform::Log& aLog);
  ~ConfigReader();

  //! The state in force; null until the end of the stream was reached once.
  config::ConfigStatePtr InForce() const { return hasReachedEnd_ ? state_ : nullptr; }

private:
  void ReadNext();
  void OnRead(const platform::ReadResult& aResult);
  void Apply(const platform::Record& aRecord);

  common::EventLoop& loop_;
  common::Counters& counters_;
  platform::Log& log_;
  common::Offset next_{ 1 };
  bool hasReachedEnd_ = false;
  config::ConfigStatePtr state_;
  std::unique_ptr<common::Watch> again_;
};

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_ConfigReader_h
