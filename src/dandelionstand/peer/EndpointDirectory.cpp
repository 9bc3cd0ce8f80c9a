#include "dandelionstand/peer/EndpointDirectory.h"

namespace dandelionstand::peer {

EndpointDirectory::~EndpointDirectory() = default;

} // namespace dandelionstand::peer
