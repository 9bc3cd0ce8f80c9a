#ifndef dandelionstand_common_HttpHeaders_h
#define dandelionstand_common_HttpHeaders_h

#include <string_view>

namespace dandelionstand::common {

//! Whether a request header is forwarded to the target. aConnection is the value of the Connection
//! header, which may list further hop-by-hop headers.
bool IsEndToEndRequestHeader(std::string_view aName, std::string_view aConnection);

//! Whether a response header is forwarded to the caller. aConnection is as above.
bool IsEndToEndResponseHeader(std::string_view aName, std::string_view aConnection);

//! Compares ASCII texts such as header names, which are case-insensitive.
bool EqualsIgnoringCase(std::string_view aLhs, std::string_view aRhs);

} // namespace dandelionstand::common

#endif // dandelionstand_common_HttpHeaders_h
