#ifndef dandelionstand_common_LocatedJson_h
#define dandelionstand_common_LocatedJson_h

#include "dandelionstand/common/Findings.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace dandelionstand::common {

//! A JSON document that remembers the line of each key and element.
struct LocatedJson
{
  nlohmann::json value_;
  std::string source_;               //!< File name or other name for findings.
  std::map<std::string, int> lines_; //!< JSON pointer to line.

  //! The place of a JSON pointer, written with dots: `limits.katalog.slots`.
  Place At(const std::string& aPointer) const;
};

//! Parses JSON with comments. Syntax errors and duplicate keys become findings; the value is then
//! null.
LocatedJson ParseLocatedJson(const std::string& aText,
                             const std::string& aSource,
                             Findings& aFindings);

} // namespace dandelionstand::common

#endif // dandelionstand_common_LocatedJson_h
