#include "dandelionstand/common/MessageGuard.h"

#include "dandelionstand/common/EventLog.h"

namespace dandelionstand::common {

void ReportFailedMessage(const char* aSource, const std::exception& aError)
{
  LogEvent(Severity::kError,
           "message_failed",
           { { "source", aSource }, { "error", std::string(aError.what()) } });
}

} // namespace dandelionstand::common
