#ifndef dandelionstand_tests_support_TempDir_h
#define dandelionstand_tests_support_TempDir_h

#include <filesystem>
#include <string>

namespace dandelionstand::tests {

//! A new temporary folder, removed on destruction unless DANDELION_KEEP is set in the environment.
class TempDir
{
public:
  TempDir();
  ~TempDir();
  TempDir(const TempDir&) = delete;
  TempDir& operator=(const TempDir&) = delete;

  const std::filesystem::path& Path() const { return path_; }

  //! Writes a file in the folder and returns its path.
  std::filesystem::path Write(const std::string& aName, const std::string& aText) const;

private:
  std::filesystem::path path_;
};

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_TempDir_h
