#include "dandelionstand/load/EventLines.h"

#include <cstdio>
#include <ctime>

namespace dandelionstand::load {

namespace {

constexpr std::uint64_t kMillisecondsPerSecond = 1000;
constexpr int kTmBaseYear = 1900;

//! The value that starts at aStart. A quoted value ends at the closing quote, any other at the next
//! space or at the end of the line.
std::string ParseValue(const std::string& aLine, std::size_t aStart)
{
  if (aStart < aLine.size() && aLine[aStart] == '"') {
    return aLine.substr(aStart + 1, aLine.find('"', aStart + 1) - aStart - 1);
  }
  return aLine.substr(aStart, aLine.find(' ', aStart) - aStart);
}

} // namespace

std::optional<std::string> FindField(const std::string& aLine, const std::string& aKey)
{
  const std::string prefix = aKey + "=";
  std::size_t position = aLine.find(prefix);
  while (position != std::string::npos) {
    if (position == 0 || aLine[position - 1] == ' ') {
      return ParseValue(aLine, position + prefix.size());
    }
    position = aLine.find(prefix, position + 1);
  }
  return std::nullopt;
}

std::optional<std::uint64_t> ParseEventTime(const std::string& aTime)
{
  std::tm time{};
  unsigned milliseconds = 0;
  const int fieldCount = std::sscanf(aTime.c_str(),
                                     "%d-%d-%dT%d:%d:%d.%u",
                                     &time.tm_year,
                                     &time.tm_mon,
                                     &time.tm_mday,
                                     &time.tm_hour,
                                     &time.tm_min,
                                     &time.tm_sec,
                                     &milliseconds);
  if (fieldCount != 7) {
    return std::nullopt;
  }
  time.tm_year -= kTmBaseYear;
  time.tm_mon -= 1;
  time.tm_isdst = -1;
  const std::time_t seconds = std::mktime(&time);
  return static_cast<std::uint64_t>(seconds) * kMillisecondsPerSecond + milliseconds;
}

} // namespace dandelionstand::load
