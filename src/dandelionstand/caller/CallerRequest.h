#ifndef dandelionstand_caller_CallerRequest_h
#define dandelionstand_caller_CallerRequest_h

#include "dandelionstand/caller/CallTypes.h"
#include "dandelionstand/dialect/CallerRequest.h"

namespace dandelionstand::caller {

using dialect::CallerRequest;
using dialect::Refusal;

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_CallerRequest_h
