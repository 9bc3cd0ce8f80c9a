#ifndef dandelionstand_tests_support_Wait_h
#define dandelionstand_tests_support_Wait_h

#include <chrono>
#include <functional>

namespace dandelionstand::tests {

//! Exceeded only by a real fault, even on a busy machine.
constexpr std::chrono::seconds kGenerousTimeout(60);

//! Polls a condition until it holds; false if it does not within aTimeout.
bool WaitUntil(const std::function<bool()>& aCondition,
               std::chrono::milliseconds aTimeout = kGenerousTimeout);

//! Polls a condition for aDuration; true if it holds each time.
bool HoldsFor(const std::function<bool()>& aCondition, std::chrono::milliseconds aDuration);

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_Wait_h
