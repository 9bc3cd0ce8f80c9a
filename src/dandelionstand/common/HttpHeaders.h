#ifndef dandelionstand_common_HttpHeaders_h
#define dandelionstand_common_HttpHeaders_h

#include <string_view>

namespace dandelionstand::common {

//! Whether a request header goes on to the target. aConnection is the value of the Connection
//! header, which may name further headers that stay on the connection.
bool IsEndToEndRequestHeader(std::string_view aName, std::string_view aConnection);

//! The same for headers of an answer.
bool IsEndToEndResponseHeader(std::string_view aName, std::string_view aConnection);

//! Compares header names, which have no case.
bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

} // namespace dandelionstand::common

#endif // dandelionstand_common_HttpHeaders_h
