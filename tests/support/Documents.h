#ifndef dandelionstand_tests_support_Documents_h
#define dandelionstand_tests_support_Documents_h

#include <nlohmann/json.hpp>

#include <string>

namespace dandelionstand::tests {

//! A configuration with one service and an idempotent GET route whose path prefix is "/" +
//! aService.
nlohmann::json BrowseDocument(const std::string& aService);

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_Documents_h
