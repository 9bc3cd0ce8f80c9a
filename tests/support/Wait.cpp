#include "tests/support/Wait.h"

#include <thread>

namespace dandelionstand::tests {

namespace {

constexpr std::chrono::milliseconds kCheckInterval(10);

} // namespace

bool WaitUntil(const std::function<bool()>& aCondition, std::chrono::milliseconds aDeadline)
{
  const auto end = std::chrono::steady_clock::now() + aDeadline;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kCheckInterval);
  }
  return true;
}

bool HoldsFor(const std::function<bool()>& aCondition, std::chrono::milliseconds aTime)
{
  return !WaitUntil([&]() { return !aCondition(); }, aTime);
}

} // namespace dandelionstand::tests
