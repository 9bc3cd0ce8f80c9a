#ifndef dandelionstand_platform_Base64_h
#define dandelionstand_platform_Base64_h

#include <string>
#include <string_view>

namespace dandelionstand::platform {

std::string EncodeBase64(std::string_view aBytes);

//! Returns false if aText is not valid base64.
bool DecodeBase64(std::string_view aText, std::string& aBytes);

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_Base64_h
