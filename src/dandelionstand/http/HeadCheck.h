#ifndef dandelionstand_http_HeadCheck_h
#define dandelionstand_http_HeadCheck_h

#include <string_view>

namespace dandelionstand::http {

//! Checks the raw head of a request (request line, header lines, empty line) for framing that two
//! HTTP implementations could interpret differently. Returns the first fault as text; empty if
//! none.
//!
//! http_parser accepts folded headers, a space before the colon, signed and repeated lengths, and a
//! missing Host; each of them would allow request smuggling.
std::string_view CheckRequestHead(std::string_view aHead);

} // namespace dandelionstand::http

#endif // dandelionstand_http_HeadCheck_h
