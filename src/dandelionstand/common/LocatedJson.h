#ifndef dandelionstand_common_LocatedJson_h
#define dandelionstand_common_LocatedJson_h

#include "dandelionstand/common/Findings.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace dandelionstand::common {

//! A JSON document with the line number of each key and array element.
struct LocatedJson
{
  nlohmann::json value_;
  std::string source_;               //!< File name, or another name to show in findings.
  std::map<std::string, int> lines_; //!< Line numbers by JSON pointer.

  //! Returns the location of a JSON pointer. Its path is written with dots: `limits.katalog.slots`.
  Place At(const std::string& aPointer) const;
};

//! Parses JSON with comments. Adds findings for syntax errors, duplicate keys and too deep nesting.
//! The value is null if parsing stopped at an error; duplicate keys do not stop it.
LocatedJson ParseLocatedJson(const std::string& aText,
                             const std::string& aSource,
                             Findings& aFindings);

} // namespace dandelionstand::common

#endif // dandelionstand_common_LocatedJson_h
