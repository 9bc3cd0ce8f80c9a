#include "standins/target/RunCounter.h"

#include <stdexcept>

namespace dandelionstand::standins {

namespace {

constexpr char kKeyMark = 'k';
constexpr char kIdentityMark = 'i';

} // namespace

RunCounter::RunCounter(const std::string& aFile)
{
  if (aFile.empty()) {
    return;
  }
  std::ifstream earlier(aFile);
  for (std::string line; std::getline(earlier, line);) {
    AddLine(line);
  }
  file_.open(aFile, std::ios::app);
  if (!file_) {
    throw std::runtime_error("cannot write " + aFile);
  }
}

void RunCounter::Add(const std::string& aKey, const std::string& aIdentity)
{
  const std::string lines[] = { kKeyMark + aKey, kIdentityMark + aIdentity };
  for (const std::string& line : lines) {
    AddLine(line);
    if (file_.is_open() && line.size() > 1) {
      file_ << line << std::endl;
    }
  }
}

void RunCounter::AddLine(const std::string& aLine)
{
  if (aLine.size() > 1) {
    ++(aLine.front() == kKeyMark ? byKey_ : byIdentity_)[aLine.substr(1)];
  }
}

} // namespace dandelionstand::standins
