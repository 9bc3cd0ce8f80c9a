#ifndef dandelionstand_standins_target_RunCounter_h
#define dandelionstand_standins_target_RunCounter_h

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

namespace dandelionstand::standins {

//! Counts how often requests ran, by idempotency key and by identity. With a file, the counts
//! survive restarts of the process.
class RunCounter
{
public:
  using Counts = std::map<std::string, std::uint64_t>;

  //! An empty aPath means no file. Throws std::runtime_error if it cannot be written.
  explicit RunCounter(const std::string& aPath);

  //! Counts a run; to be called before its work begins. An empty key or identity is not counted.
  void Add(const std::string& aKey, const std::string& aIdentity);

  const Counts& ByKey() const { return byKey_; }
  const Counts& ByIdentity() const { return byIdentity_; }

private:
  //! Counts one line of the file: a prefix for its kind and a key or an identity.
  void CountLine(const std::string& aLine);

  Counts byKey_;
  Counts byIdentity_;
  std::ofstream file_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_target_RunCounter_h
