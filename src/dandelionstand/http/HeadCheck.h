#ifndef dandelionstand_http_HeadCheck_h
#define dandelionstand_http_HeadCheck_h

#include <string_view>

namespace dandelionstand::http {

//! Checks the raw head of a request (request line, header lines, empty line) for framing that two
//! HTTP implementations could read differently. Returns the first fault as text; empty if none.
//!
//! The parser library accepts folded headers, a space before the colon, signed and repeated
//! lengths, and a missing Host; each would let a client hide one request inside another.
std::string_view CheckRequestHead(std::string_view aHead);

} // namespace dandelionstand::http

#endif // dandelionstand_http_HeadCheck_h
