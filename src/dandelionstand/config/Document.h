#ifndef dandelionstand_config_Document_h
#define dandelionstand_config_Document_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/config/ConfigState.h"

#include <cstddef>
#include <string>

namespace dandelionstand::config {

//! Longest document that is read.
constexpr std::size_t kMaxDocumentBytes = 1'048'576;

//! Parses and validates a whole document (JSON with comments). The state is to be used only if
//! there are no findings; its versions are 0.
ConfigState ParseDocument(const std::string& aText,
                          const std::string& aSource,
                          common::Findings& aFindings);

//! The document of a state, indented, as ParseDocument reads it.
std::string WriteDocument(const ConfigState& aState);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Document_h
