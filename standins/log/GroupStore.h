#ifndef dandelionstand_standins_log_GroupStore_h
#define dandelionstand_standins_log_GroupStore_h

#include "dandelionstand/common/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandelionstand::standins {

//! The groups of the log service: each shares the partitions of a topic evenly among its members. A
//! partition passes to another member when its holder joins again, or is out.
class GroupStore
{
public:
  static constexpr std::uint32_t kPartitions = 8;

  struct Assignment
  {
    std::uint64_t generation_ = 0;
    std::vector<std::uint32_t> partitions_;
  };

  struct Ownership
  {
    std::string topic_;
    std::map<std::uint32_t, std::string> holders_; //!< By partition; empty if there is none.
  };

  //! A group has the topic of its latest join.
  Assignment Join(const std::string& aGroup,
                  const std::string& aTopic,
                  const std::string& aMember,
                  common::Duration aTimeToLive,
                  common::TimePoint aNow);
  //! Without partitions for an unknown group.
  Ownership Owners(const std::string& aGroup) const;

private:
  struct Group
  {
    std::uint64_t generation_ = 0;
    std::map<std::string, common::TimePoint> expiryByMember_;
    Ownership ownership_;
  };

  std::map<std::string, Group> groups_;
};

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_log_GroupStore_h
