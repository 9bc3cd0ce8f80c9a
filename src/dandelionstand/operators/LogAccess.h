#ifndef dandelionstand_operators_LogAccess_h
#define dandelionstand_operators_LogAccess_h

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/operators/Command.h"
#include "dandelionstand/operators/LogReader.h"
#include "dandelionstand/platform/HttpLog.h"

namespace dandelionstand::operators {

//! The options --log and --timeout of the commands that use the log.
void AddLogOptions(Command::Options& aOptions);

//! The value of --timeout.
common::Duration TimeoutOf(const Command::Values& aValues);

//! The log that the options name, with an event loop for it.
struct LogAccess
{
  explicit LogAccess(const Command::Values& aValues);

  common::EventLoop loop_;
  common::Counters counters_;
  platform::HttpLog log_;
};

//! Reads the configuration stream to its end; false if that failed within the timeout.
bool ReadToEnd(LogAccess& aAccess, LogReader& aReader);

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_LogAccess_h
