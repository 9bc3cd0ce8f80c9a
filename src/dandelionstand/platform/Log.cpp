#include "dandelionstand/platform/Log.h"

namespace dandelionstand::platform {

Log::~Log() = default;

} // namespace dandelionstand::platform
