#include "tests/support/Wait.h"

#include <thread>

namespace dandelionstand::tests {

namespace {

constexpr std::chrono::milliseconds kPollInterval(10);

} // namespace

bool WaitUntil(const std::function<bool()>& aCondition, std::chrono::milliseconds aTimeout)
{
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

bool HoldsFor(const std::function<bool()>& aCondition, std::chrono::milliseconds aDuration)
{
  return !WaitUntil([&]() { return !aCondition(); }, aDuration);
}

} // namespace dandelionstand::tests
