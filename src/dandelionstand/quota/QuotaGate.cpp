#include "dandelionstand/quota/QuotaGate.h"

namespace dandelionstand::quota {

QuotaGate::~QuotaGate() = default;

} // namespace dandelionstand::quota
