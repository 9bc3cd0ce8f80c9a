#ifndef dandelionstand_standins_target_RunCounter_h
#define dandelionstand_standins_target_RunCounter_h

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

namespace dandelionstand::standins {

//! Counts the runs of requests by idempotency key and by identity. With a file, the counts of
//! earlier processes go on.
class RunCounter
{
public:
  using Counts = std::map<std::string, std::uint64_t>;

  //! aFile may be empty. Throws std::runtime_error if it cannot be written.
  explicit RunCounter(const std::string& aFile);

  //! Counts a run before its work begins; an empty key or identity is not counted.
  void Add(const std::string& aKey, const std::string& aIdentity);

  const Counts& ByKey() const { return byKey_; }
  const Counts& ByIdentity() const { return byIdentity_; }

private:
  void AddLine(const std::string& aLine);

  Counts byKey_;
  Counts byIdentity_;
  std::ofstream file_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_target_RunCounter_h
