#include "tests/support/TempDir.h"

#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <system_error>

namespace dandelionstand::tests {

TempDir::TempDir()
{
  std::string pathTemplate = std::filesystem::temp_directory_path() / "dandelionstand-XXXXXX";
  if (mkdtemp(pathTemplate.data()) == nullptr) {
    throw std::runtime_error("cannot create a folder from the template " + pathTemplate);
  }
  path_ = pathTemplate;
}

TempDir::~TempDir()
{
  if (std::getenv("DANDELION_KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
}

std::filesystem::path TempDir::Write(const std::string& aName, const std::string& aText) const
{
  const std::filesystem::path path = path_ / aName;
  std::ofstream(path) << aText;
  return path;
}

} // namespace dandelionstand::tests
