#include "dandelionstand/dialect/TargetDialect.h"

namespace dandelionstand::dialect {

TargetDialect::~TargetDialect() = default;

} // namespace dandelionstand::dialect
