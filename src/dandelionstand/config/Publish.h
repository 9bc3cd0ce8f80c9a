#ifndef dandelionstand_config_Publish_h
#define dandelionstand_config_Publish_h

#include "dandelionstand/config/PublishRecord.h"

namespace dandelionstand::config {

//! Computes the changes that turn the resources of a state into those of a document, based on the
//! state's versions. Empty if they are equal.
std::vector<Change> ChangesBetween(const ConfigState& aCurrent, const ConfigState& aDocument);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Publish_h
