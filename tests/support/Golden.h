#ifndef tests_support_Golden_h
#define tests_support_Golden_h

#include <string>

namespace dandelionstand::tests {

//! Checks that a transcript equals the file tests/golden/<aName>.
//! With DANDELION_APPROVE=1 in the environment the file is overwritten instead.
void CheckGolden(const std::string& aName, const std::string& aTranscript);

} // namespace dandelionstand::tests

#endif // tests_support_Golden_h
