#ifndef dandelionstand_platform_LogGroups_h
#define dandelionstand_platform_LogGroups_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/platform/Log.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dandelionstand::platform {

//! Membership in a group whose members share the partitions of a topic.
struct GroupJoin
{
  std::string group_;
  std::string member_;
  std::string topic_;
  common::Duration timeToLive_{}; //!< Without a join for so long, the member is out.
  std::uint64_t generation_ = 0;  //!< The last one received; 0 if none.
};

struct GroupJoinResult
{
  LogStatus status_ = LogStatus::kUnavailable;
  std::uint64_t generation_ = 0;          //!< Increases with each change of the group.
  std::vector<std::uint32_t> partitions_; //!< Those that belong to the member.
};

struct PartitionOwner
{
  std::uint32_t partition_ = 0;
  std::string member_;
};

struct GroupOwnersResult
{
  LogStatus status_ = LogStatus::kUnavailable;
  std::vector<PartitionOwner> owners_;
};

//! Asynchronous access to the group calls of the platform's log. They assign each partition to one
//! member at a time.
class LogGroups
{
public:
  using JoinCallback = std::function<void(const GroupJoinResult&)>;
  using OwnersCallback = std::function<void(const GroupOwnersResult&)>;

  virtual ~LogGroups();

  //! Joins the group or stays in it. aTimeout: after which the join counts as failed, though it may
  //! still take effect.
  virtual void JoinGroup(const GroupJoin& aJoin,
                         common::Duration aTimeout,
                         JoinCallback aCallback) = 0;
  virtual void ReadOwners(const std::string& aGroup, OwnersCallback aCallback) = 0;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_LogGroups_h
