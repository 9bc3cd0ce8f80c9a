#include "dandelionstand/load/ProcessUsage.h"

#include "dandelionstand/load/TextFile.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <sstream>
#include <vector>

namespace dandelionstand::load {

namespace {

// Field positions after the program name. The name itself may contain spaces and brackets.
constexpr std::size_t kUserTicksField = 11;
constexpr std::size_t kSystemTicksField = 12;
constexpr std::size_t kResidentPagesField = 21;
constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::uint64_t kNanosecondsPerMicrosecond = 1000;

common::Duration SumThreadCpuTimes(const std::string& aProcessFolder)
{
  common::Duration sum{};
  std::error_code ignored;
  for (const auto& thread :
       std::filesystem::directory_iterator(aProcessFolder + "/task", ignored)) {
    sum +=
      ParseThreadCpuTime(ReadTextFile(thread.path().string() + "/schedstat")).value_or(sum.zero());
  }
  return sum;
}

bool ParseNumber(const std::string& aText, std::uint64_t& aNumber)
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
                       ParseNumber(fields[kUserTicksField], userTicks) &&
                       ParseNumber(fields[kSystemTicksField], systemTicks) &&
                       ParseNumber(fields[kResidentPagesField], pages);
  if (!isValid) {
    return std::nullopt;
  }
  const std::uint64_t cpuUs = (userTicks + systemTicks) * kMicrosecondsPerSecond / aTicksPerSecond;
  return ProcessUsage{ common::Duration(cpuUs), pages * aPageBytes };
}

std::optional<common::Duration> ParseThreadCpuTime(const std::string& aText)
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
    // Clock ticks are too coarse for an idle daemon. The scheduler's times per thread are precise
    // but omit threads that have ended, so the larger value is used.
    usage->cpuTime_ = std::max(usage->cpuTime_, SumThreadCpuTimes(folder));
  }
  return usage;
}

} // namespace dandelionstand::load
