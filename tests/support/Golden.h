#ifndef tests_support_Golden_h
#define tests_support_Golden_h

#include <string>

namespace dandelionstand::tests {

//! Compares a session with tests/golden/<aName>, exactly; the first difference fails the test.
//! With DANDELION_APPROVE=1 in the environment the file is rewritten instead.
void CheckGolden(const std::string& aName, const std::string& aSession);

} // namespace dandelionstand::tests

#endif // tests_support_Golden_h
