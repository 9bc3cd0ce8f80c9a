#ifndef dandelionstand_common_MessageGuard_h
#define dandelionstand_common_MessageGuard_h

#include <exception>

namespace dandelionstand::common {

//! Logs the exception as `message_failed`.
void ReportFailedMessage(const char* aSource, const std::exception& aError);

//! Calls aAction, which handles one message or one event of a connection. An exception is logged
//! and does not reach the caller, so it affects that message only. Returns false if there was one.
template<typename Action>
bool HandleMessage(const char* aSource, Action aAction)
{
  try {
    aAction();
    return true;
  } catch (const std::exception& error) {
    ReportFailedMessage(aSource, error);
    return false;
  }
}

} // namespace dandelionstand::common

#endif // dandelionstand_common_MessageGuard_h
