#ifndef dandelionstand_platform_PlatformJson_h
#define dandelionstand_platform_PlatformJson_h

#include <nlohmann/json.hpp>

#include <string>

namespace dandelionstand::platform {

//! Parses JSON that another program wrote. Returns a discarded value if the text is not JSON or
//! nested too deeply; copying or writing such a value would exhaust the stack.
nlohmann::json ParseJson(const std::string& aText);

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_PlatformJson_h
