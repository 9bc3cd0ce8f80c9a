#ifndef dandelionstand_operators_LogAccess_h
#define dandelionstand_operators_LogAccess_h

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/operators/Command.h"
#include "dandelionstand/operators/LogReader.h"
#include "dandelionstand/platform/HttpLog.h"

namespace dandelionstand::operators {

//! Adds the options --log and --timeout.
void AddLogOptions(Command::Options& aOptions);

//! Returns the value of --timeout.
common::Duration TimeoutOf(const Command::Values& aValues);

//! Client of the log service given by --log, with its event loop.
struct LogAccess
{
  explicit LogAccess(const Command::Values& aValues);

  common::EventLoop loop_;
  common::Counters counters_;
  platform::HttpLog log_;
};

//! Runs the event loop until the reader is done. Returns whether the stream was read to its end.
bool ReadToEnd(LogAccess& aAccess, LogReader& aReader);

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_LogAccess_h
