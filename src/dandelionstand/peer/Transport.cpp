#include "dandelionstand/peer/Transport.h"

namespace dandelionstand::peer {

Transport::~Transport() = default;

} // namespace dandelionstand::peer
