#include "dandelionstand/daemon/LibraryMessages.h"

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/common/StandardError.h"

#include <event2/event.h>
#include <google/protobuf/stubs/logging.h>
#include <log4cplus/helpers/loglog.h>

#include <cstdlib>
#include <string>

namespace dandelionstand::daemon {

namespace {

void Report(common::Severity aSeverity, const char* aLibrary, const std::string& aMessage)
{
  common::LogEvent(
    aSeverity, "library_message", { { "library", aLibrary }, { "message", aMessage } });
}

void OnProtobufMessage(google::protobuf::LogLevel aLevel,
                       const char*,
                       int,
                       const std::string& aMessage)
{
  const bool isError = aLevel >= google::protobuf::LOGLEVEL_ERROR;
  Report(isError ? common::Severity::kError : common::Severity::kWarn, "protobuf", aMessage);
}

void OnLibeventMessage(int aSeverity, const char* aMessage)
{
  if (aSeverity != EVENT_LOG_DEBUG) {
    Report(common::Severity::kWarn, "libevent", aMessage);
  }
}

void OnLibeventFatal(int aError)
{
  Report(common::Severity::kError, "libevent", "fatal error " + std::to_string(aError));
  common::FlushEventLog();
  std::quick_exit(EXIT_FAILURE);
}

} // namespace

void RedirectLibraryMessages()
{
  google::protobuf::SetLogHandler(&OnProtobufMessage);
  event_set_log_callback(&OnLibeventMessage);
  event_set_fatal_callback(&OnLibeventFatal);
  log4cplus::helpers::LogLog::getLogLog()->setQuietMode(true);
  // For what has no such setting: assertions of ZeroMQ and of the C library.
  common::MakeStandardErrorNonBlocking();
}

} // namespace dandelionstand::daemon
