#ifndef dandelionstand_tests_platform_LogBench_h
#define dandelionstand_tests_platform_LogBench_h

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/platform/HttpLog.h"

#include <cstdint>
#include <string>

namespace dandelionstand::tests {

//! A log client whose calls are waited for.
class BlockingLogClient
{
public:
  explicit BlockingLogClient(platform::HttpLogSettings aSettings);
  BlockingLogClient(common::EventLoop& aLoop, platform::HttpLogSettings aSettings);

  platform::AppendResult Append(std::string aData);
  platform::ReadResult Read(std::uint64_t aFrom, common::Duration aWait = {});
  //! Runs the loop until something stops it; fails the test if nothing does.
  void RunUntilStopped();

  platform::HttpLog& GetLog() { return log_; }
  std::uint64_t Counter(const std::string& aName) const { return counters_.Get(aName); }

private:
  common::EventLoop ownLoop_;
  common::EventLoop& loop_;
  common::Counters counters_;
  platform::HttpLog log_;
};

inline const platform::StreamName kStream("config");

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_platform_LogBench_h
