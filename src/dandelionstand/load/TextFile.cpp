#include "dandelionstand/load/TextFile.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace dandelionstand::load {

std::string ReadTextFile(const std::string& aPath)
{
  const std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void WriteTextFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream file(aPath, std::ios::binary | std::ios::trunc);
  file << aText;
  file.close();
  if (!file) {
    throw std::runtime_error("cannot write " + aPath);
  }
}

} // namespace dandelionstand::load
