#ifndef dandelionstand_config_Document_h
#define dandelionstand_config_Document_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/config/ConfigState.h"

#include <cstddef>
#include <string>

namespace dandelionstand::config {

//! Maximum size of a document; ParseDocument refuses longer ones.
constexpr std::size_t kMaxDocumentBytes = 1'048'576;

//! Parses and validates a configuration document (JSON with comments). Use the state only if there
//! are no findings. All its versions are 0.
ConfigState ParseDocument(const std::string& aText,
                          const std::string& aSource,
                          common::Findings& aFindings);

//! Writes a state as an indented document that ParseDocument can read.
std::string WriteDocument(const ConfigState& aState);

} // namespace dandelionstand::config

#endif // dandelionstand_config_Document_h
