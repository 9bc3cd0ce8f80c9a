#include "dandelionstand/daemon/ConfigSource.h"

namespace dandelionstand::daemon {

ConfigSource::~ConfigSource() = default;

} // namespace dandelionstand::daemon
