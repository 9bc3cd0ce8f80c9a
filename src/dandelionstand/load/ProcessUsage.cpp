#include "dandelionstand/load/ProcessUsage.h"

#include "dandelionstand/load/TextFile.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <sstream>
#include <vector>

namespace dandelionstand::load {

namespace {

// Positions after the program's name, which may itself hold spaces and brackets.
constexpr std::size_t kUserTicksField = 11;
constexpr std::size_t kSystemTicksField = 12;
constexpr std::size_t kResidentPagesField = 21;
constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::uint64_t kNanosecondsPerMicrosecond = 1000;

common::Duration SumThreadTimes(const std::string& aProcessFolder)
{
  common::Duration sum{};
  std::error_code ignored;
  for (const auto& thread :
       std::filesystem::directory_iterator(aProcessFolder + "/task", ignored)) {
    sum +=
      ParseThreadTime(ReadTextFile(thread.path().string() + "/schedstat")).value_or(sum.zero());
  }
  return sum;
}

bool ToNumber(const std::string& aText, std::uint64_t& aNumber)
{
  std::istringstream stream(aText);
  stream >> aNumber;
  return !stream.fail() && stream.eof();
}

} // namespace

std::optional<ProcessUsage> ParseProcessStat(const std::string& aText,
                                             std::uint64_t aTicksPerSecond,
                                             std::uint64_t aPageBytes)
{
  const std::size_t nameEnd = aText.rfind(')');
  if (nameEnd == std::string::npos) {
    return std::nullopt;
  }
  std::istringstream stream(aText.substr(nameEnd + 1));
  std::vector<std::string> fields;
  for (std::string field; stream >> field;) {
    fields.push_back(field);
  }
  std::uint64_t userTicks = 0;
  std::uint64_t systemTicks = 0;
  std::uint64_t pages = 0;
  const bool isValid = fields.size() > kResidentPagesField &&
                       ToNumber(fields[kUserTicksField], userTicks) &&
                       ToNumber(fields[kSystemTicksField], systemTicks) &&
                       ToNumber(fields[kResidentPagesField], pages);
  if (!isValid) {
    return std::nullopt;
  }
  const std::uint64_t cpuUs = (userTicks + systemTicks) * kMicrosecondsPerSecond / aTicksPerSecond;
  return ProcessUsage{ common::Duration(cpuUs), pages * aPageBytes };
}

std::optional<common::Duration> ParseThreadTime(const std::string& aText)
{
  std::istringstream stream(aText);
  std::uint64_t nanoseconds = 0;
  stream >> nanoseconds;
  if (stream.fail()) {
    return std::nullopt;
  }
  return common::Duration(nanoseconds / kNanosecondsPerMicrosecond);
}

std::optional<ProcessUsage> ReadProcessUsage(int aPid)
{
  const std::string folder = "/proc/" + std::to_string(aPid);
  std::optional<ProcessUsage> usage =
    ParseProcessStat(ReadTextFile(folder + "/stat"),
                     static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK)),
                     static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)));
  if (usage) {
    // The ticks of the process are too coarse for a daemon at rest; the scheduler's own times of
    // the threads are not, but lack those of threads that have ended.
    usage->cpu_ = std::max(usage->cpu_, SumThreadTimes(folder));
  }
  return usage;
}

} // namespace dandelionstand::load
