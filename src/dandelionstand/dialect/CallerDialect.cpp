#include "dandelionstand/dialect/CallerDialect.h"

namespace dandelionstand::dialect {

CallerDialect::~CallerDialect() = default;

} // namespace dandelionstand::dialect
