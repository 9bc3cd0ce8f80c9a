#include "standins/target/RunCounter.h"

#include <stdexcept>

namespace dandelionstand::standins {

namespace {

constexpr char kKeyPrefix = 'k';
constexpr char kIdentityPrefix = 'i';

} // namespace

RunCounter::RunCounter(const std::string& aPath)
{
  if (aPath.empty()) {
    return;
  }
  std::ifstream existing(aPath);
  for (std::string line; std::getline(existing, line);) {
    CountLine(line);
  }
  file_.open(aPath, std::ios::app);
  if (!file_) {
    throw std::runtime_error("cannot write " + aPath);
  }
}

void RunCounter::Add(const std::string& aKey, const std::string& aIdentity)
{
  const std::string lines[] = { kKeyPrefix + aKey, kIdentityPrefix + aIdentity };
  for (const std::string& line : lines) {
    CountLine(line);
    if (file_.is_open() && line.size() > 1) {
      file_ << line << std::endl;
    }
  }
}

void RunCounter::CountLine(const std::string& aLine)
{
  if (aLine.size() > 1) {
    ++(aLine.front() == kKeyPrefix ? byKey_ : byIdentity_)[aLine.substr(1)];
  }
}

} // namespace dandelionstand::standins
