#ifndef dandelionstand_load_TextFile_h
#define dandelionstand_load_TextFile_h

#include <string>

namespace dandelionstand::load {

//! Returns the content of a file; empty if it cannot be read.
std::string ReadTextFile(const std::string& aPath);

//! Replaces the content of a file; throws std::runtime_error if that fails.
void WriteTextFile(const std::string& aPath, const std::string& aText);

} // namespace dandelionstand::load

#endif // dandelionstand_load_TextFile_h
