#ifndef dandelionstand_platform_ConfigDocument_h
#define dandelionstand_platform_ConfigDocument_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/config/ConfigState.h"

#include <string>

namespace dandelionstand::platform {

//! Decodes the operator's configuration document. A document with an error is rejected as a whole:
//! the function returns null and adds every error that it found to aFindings.
config::ConfigStatePtr DecodeConfigDocument(const std::string& aText, common::Findings& aFindings);

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_ConfigDocument_h
