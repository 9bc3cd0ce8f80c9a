#ifndef dandelionstand_common_EventLog_h
#define dandelionstand_common_EventLog_h

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace dandelionstand::common {

//! One key and its value in an event line.
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
void StartEventLog(const std::string& aProcess, Severity aLowest);

//! Starts logging to standard output within a budget; see LogBudget. A line never waits: it is kept
//! until FlushEventLog finds room, and left out if too many are kept already.
void StartBoundedEventLog(const std::string& aProcess, Severity aLowest);

//! Writes the lines that are kept, as far as the reader takes them, and one that counts those left
//! out. To be called several times a second, and before the process ends.
void FlushEventLog();

//! Changes the lowest severity that is written.
void SetLogSeverity(Severity aLowest);

//! Parses "debug", "info", "warn" or "error"; false for any other text.
bool ParseSeverity(const std::string& aText, Severity& aSeverity);

//! Writes one line of key=value pairs; values with spaces, quotes or `=` are quoted.
void LogEvent(Severity aSeverity, std::string_view aEvent, std::initializer_list<Field> aFields);

//! The pairs of a line as LogEvent writes them.
std::string FormatFields(std::string_view aEvent, std::initializer_list<Field> aFields);

} // namespace dandelionstand::common

#endif // dandelionstand_common_EventLog_h
