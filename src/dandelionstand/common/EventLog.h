#ifndef dandelionstand_common_EventLog_h
#define dandelionstand_common_EventLog_h

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace dandelionstand::common {

//! A key-value pair of a log line.
struct Field
{
  Field(std::string_view aKey, std::string_view aValue)
    : key_(aKey)
    , value_(aValue)
  {
  }
  Field(std::string_view aKey, std::uint64_t aValue)
    : key_(aKey)
    , value_(std::to_string(aValue))
  {
  }

  std::string key_;
  std::string value_;
};

enum class Severity
{
  kDebug,
  kInfo,
  kWarn,
  kError,
};

//! Starts logging to standard error; aProcess is the `process=` value of every line.
void StartEventLog(const std::string& aProcess, Severity aMinSeverity);

//! Starts logging to standard output at a limited rate; see LogBudget. Logging never blocks: lines
//! are buffered until FlushEventLog can write them, and dropped while the buffer is full.
void StartBoundedEventLog(const std::string& aProcess, Severity aMinSeverity);

//! Writes as many buffered lines as standard output accepts without blocking, and a line with the
//! number of dropped lines. Must be called several times a second and before the process exits.
void FlushEventLog();

//! Sets the lowest severity that is logged.
void SetLogSeverity(Severity aMinSeverity);

//! Parses "debug", "info", "warn" or "error"; false for any other text.
bool ParseSeverity(const std::string& aText, Severity& aSeverity);

//! Logs one line of key=value pairs. Empty values and values with spaces, quotes or `=` are quoted.
void LogEvent(Severity aSeverity, std::string_view aEvent, std::initializer_list<Field> aFields);

//! Formats the key=value pairs of a line as LogEvent logs them.
std::string FormatFields(std::string_view aEvent, std::initializer_list<Field> aFields);

} // namespace dandelionstand::common

#endif // dandelionstand_common_EventLog_h
