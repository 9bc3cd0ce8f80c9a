#include "dandelionstand/common/StandardError.h"

#include <fcntl.h>
#include <unistd.h>

namespace dandelionstand::common {

bool MakeStandardErrorNonBlocking()
{
  // A new open file description: the flags of the present one are shared with other processes.
  const int reopened =
    open("/proc/self/fd/2", O_WRONLY | O_APPEND | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
  if (reopened < 0) {
    return false;
  }
  const bool isReplaced = dup2(reopened, STDERR_FILENO) == STDERR_FILENO;
  close(reopened);
  return isReplaced;
}

} // namespace dandelionstand::common
