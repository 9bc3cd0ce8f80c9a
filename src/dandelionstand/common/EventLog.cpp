#include "dandelionstand/common/EventLog.h"

#include "dandelionstand/common/LogBudget.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/nullappender.h>
#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <memory>
#include <utility>

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

//! log4cplus prints warnings of its own as long as no appender is installed.
bool InstallNullAppender()
{
  log4cplus::Logger::getRoot().addAppender(
    log4cplus::SharedAppenderPtr(new log4cplus::NullAppender()));
  return true;
}

log4cplus::Logger RootLogger()
{
  static log4cplus::Initializer initializer;
  static const bool isInstalled = InstallNullAppender();
  static_cast<void>(isInstalled);
  return log4cplus::Logger::getRoot();
}

Severity ToSeverity(log4cplus::LogLevel aLevel)
{
  if (aLevel >= log4cplus::ERROR_LOG_LEVEL) {
    return Severity::kError;
  }
  if (aLevel >= log4cplus::WARN_LOG_LEVEL) {
    return Severity::kWarn;
  }
  return aLevel >= log4cplus::INFO_LOG_LEVEL ? Severity::kInfo : Severity::kDebug;
}

//! Buffers lines in memory until they can be written without blocking.
class BoundedAppender : public log4cplus::Appender
{
public:
  ~BoundedAppender() override { destructorImpl(); }

  void close() override { closed = true; }

  void Flush()
  {
    const std::uint64_t dropped =
      budget_.ConsumeDroppedCount() + std::exchange(overflowedLines_, 0);
    if (dropped > 0) {
      LogEvent(Severity::kError, "log_lines_left_out", { { "lines", dropped } });
    }
    while (!buffer_.empty() && CanWrite()) {
      // A pipe that is reported as writable accepts at least PIPE_BUF bytes without blocking.
      const std::size_t size = std::min<std::size_t>(buffer_.size(), PIPE_BUF);
      const ssize_t written = write(STDOUT_FILENO, buffer_.data(), size);
      if (written <= 0) {
        return;
      }
      buffer_.erase(0, static_cast<std::size_t>(written));
    }
  }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    log4cplus::tstring& line = formatEvent(aEvent);
    if (!budget_.Admit(ToSeverity(aEvent.getLogLevel()), line.size(), Now())) {
      return;
    }
    if (buffer_.size() + line.size() > kMaxBufferedBytes) {
      ++overflowedLines_;
      return;
    }
    buffer_ += line;
  }

private:
  //! Limits the memory in use while the reader of standard output does not read.
  static constexpr std::size_t kMaxBufferedBytes = 256UL * 1024;

  static bool CanWrite()
  {
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
  }

  LogBudget budget_{ LogBudgetSettings{} };
  std::string buffer_;
  std::uint64_t overflowedLines_ = 0;
};

//! The appender installed by StartBoundedEventLog; null if a different one is in use.
BoundedAppender*& ActiveBoundedAppender()
{
  static BoundedAppender* appender = nullptr;
  return appender;
}

void InstallAppender(const log4cplus::SharedAppenderPtr& aAppender, const std::string& aProcess)
{
  const std::string pattern =
    "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p process=" + aProcess + " %m%n";
  aAppender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  log4cplus::Logger root = RootLogger();
  root.removeAllAppenders();
  root.addAppender(aAppender);
}

bool NeedsQuotes(const std::string& aValue)
{
  return aValue.empty() || aValue.find_first_of(" =\"\n\r\t\\") != std::string::npos;
}

std::string Quote(const std::string& aValue)
{
  std::string quoted = "\"";
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
    }
    quoted += character == '\n' || character == '\r' ? ' ' : character;
  }
  return quoted + "\"";
}

} // namespace

void StartEventLog(const std::string& aProcess, Severity aMinSeverity)
{
  ActiveBoundedAppender() = nullptr;
  InstallAppender(log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)),
                  aProcess);
  SetLogSeverity(aMinSeverity);
}

void StartBoundedEventLog(const std::string& aProcess, Severity aMinSeverity)
{
  ActiveBoundedAppender() = new BoundedAppender;
  InstallAppender(log4cplus::SharedAppenderPtr(ActiveBoundedAppender()), aProcess);
  SetLogSeverity(aMinSeverity);
}

void FlushEventLog()
{
  if (ActiveBoundedAppender() != nullptr) {
    ActiveBoundedAppender()->Flush();
  }
}

void SetLogSeverity(Severity aMinSeverity)
{
  RootLogger().setLogLevel(ToLevel(aMinSeverity));
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
  log4cplus::Logger root = RootLogger();
  const log4cplus::LogLevel level = ToLevel(aSeverity);
  if (root.isEnabledFor(level)) {
    root.forcedLog(level, FormatFields(aEvent, aFields));
  }
}

} // namespace dandelionstand::common
