#include "tests/platform/BlockingLogClient.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <utility>

namespace dandelionstand::tests {

namespace {

constexpr std::chrono::seconds kDeadline(60);

} // namespace

BlockingLogClient::BlockingLogClient(platform::HttpLogSettings aSettings)
  : loop_(ownLoop_)
  , log_(loop_, std::move(aSettings), counters_)
{
}

BlockingLogClient::BlockingLogClient(common::EventLoop& aLoop, platform::HttpLogSettings aSettings)
  : loop_(aLoop)
  , log_(loop_, std::move(aSettings), counters_)
{
}

platform::AppendResult BlockingLogClient::Append(std::string aData)
{
  platform::AppendResult result;
  log_.Append(kStream, std::move(aData), [&](const platform::AppendResult& aResult) {
    result = aResult;
    loop_.Stop();
  });
  RunUntilStopped();
  return result;
}

platform::ReadResult BlockingLogClient::Read(std::uint64_t aFrom, common::Duration aWait)
{
  platform::ReadResult result;
  log_.Read(kStream, common::Offset(aFrom), aWait, [&](const platform::ReadResult& aResult) {
    result = aResult;
    loop_.Stop();
  });
  RunUntilStopped();
  return result;
}

void BlockingLogClient::RunUntilStopped()
{
  const auto guard = loop_.After(kDeadline, [this]() {
    loop_.Stop();
    FAIL_CHECK("no callback");
  });
  loop_.Run();
}

} // namespace dandelionstand::tests
