#ifndef dandelionstand_platform_ConfigDocument_h
#define dandelionstand_platform_ConfigDocument_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/config/ConfigState.h"

#include <string>

namespace dandelionstand::platform {

//! Decodes the operator's configuration document. Returns null, with findings, if it cannot be
//! taken as a whole.
config::ConfigStatePtr DecodeConfigDocument(const std::string& aText, common::Findings& aFindings);

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_ConfigDocument_h
