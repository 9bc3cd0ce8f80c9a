#ifndef dandelionstand_config_Publish_h
#define dandelionstand_config_Publish_h

#include "dandelionstand/config/PublishRecord.h"

namespace dandelionstand::config {

//! The changes that lead from a state to the resources of a document, with the state's versions as
//! bases. Empty if they are equal.
std::vector<Change> ChangesBetween(const ConfigState& aCurrent, const ConfigState& aDocument);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Publish_h
