#include "dandelionstand/freshness/FreshnessSource.h"

namespace dandelionstand::freshness {

FreshnessSource::~FreshnessSource() = default;

} // namespace dandelionstand::freshness
