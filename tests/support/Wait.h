#ifndef dandelionstand_tests_support_Wait_h
#define dandelionstand_tests_support_Wait_h

#include <chrono>
#include <functional>

namespace dandelionstand::tests {

//! Long enough that only a real fault exceeds it, also on a busy machine.
constexpr std::chrono::seconds kGenerousDeadline(60);

//! Checks a condition every few milliseconds until it holds; false if it does not in time.
bool WaitUntil(const std::function<bool()>& aCondition,
               std::chrono::milliseconds aDeadline = kGenerousDeadline);

//! True if the condition holds at each check during the whole time.
bool HoldsFor(const std::function<bool()>& aCondition, std::chrono::milliseconds aTime);

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_Wait_h
