#include "dandelionstand/common/EventLog.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/nullappender.h>

#include <memory>

namespace dandelionstand::common {

namespace {

log4cplus::LogLevel ToLevel(Severity aSeverity)
{
  switch (aSeverity) {
    case Severity::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case Severity::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case Severity::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case Severity::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

//! Without an appender the library would print complaints of its own.
bool SilenceUntilStarted()
{
  log4cplus::Logger::getRoot().addAppender(
    log4cplus::SharedAppenderPtr(new log4cplus::NullAppender()));
  return true;
}

log4cplus::Logger Root()
{
  static log4cplus::Initializer initializer;
  static const bool isSilenced = SilenceUntilStarted();
  static_cast<void>(isSilenced);
  return log4cplus::Logger::getRoot();
}

bool NeedsQuotes(const std::string& aValue)
{
  return aValue.empty() || aValue.find_first_of(" =\"\n\r\t\\") != std::string::npos;
}

std::string Quote(const std::string& aValue)
{
  std::string quoted = "\"";
  for (const char letter : aValue) {
    if (letter == '"' || letter == '\\') {
      quoted += '\\';
    }
    quoted += letter == '\n' || letter == '\r' ? ' ' : letter;
  }
  return quoted + "\"";
}

} // namespace

void StartEventLog(const std::string& aProcess, Severity aLowest)
{
  log4cplus::Logger root = Root();
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
  const std::string pattern =
    "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p process=" + aProcess + " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  root.removeAllAppenders();
  root.addAppender(appender);
  SetLogSeverity(aLowest);
}

void SetLogSeverity(Severity aLowest)
{
  Root().setLogLevel(ToLevel(aLowest));
}

bool ParseSeverity(const std::string& aText, Severity& aSeverity)
{
  if (aText == "debug") {
    aSeverity = Severity::kDebug;
  } else if (aText == "info") {
    aSeverity = Severity::kInfo;
  } else if (aText == "warn") {
    aSeverity = Severity::kWarn;
  } else if (aText == "error") {
    aSeverity = Severity::kError;
  } else {
    return false;
  }
  return true;
}

std::string FormatFields(std::string_view aEvent, std::initializer_list<Field> aFields)
{
  std::string line = "event=" + std::string(aEvent);
  for (const Field& field : aFields) {
    line += " " + field.key_ + "=";
    line += NeedsQuotes(field.value_) ? Quote(field.value_) : field.value_;
  }
  return line;
}

void LogEvent(Severity aSeverity, std::string_view aEvent, std::initializer_list<Field> aFields)
{
  log4cplus::Logger root = Root();
  const log4cplus::LogLevel level = ToLevel(aSeverity);
  if (root.isEnabledFor(level)) {
    root.forcedLog(level, FormatFields(aEvent, aFields));
  }
}

} // namespace dandelionstand::common
