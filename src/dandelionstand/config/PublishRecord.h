#ifndef dandelionstand_config_PublishRecord_h
#define dandelionstand_config_PublishRecord_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/config/ConfigState.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstand::config {

//! Unique id of one publish request. If the answer to an append is lost, a search of the log for
//! this id shows whether the record was appended.
using PublishId = common::StrongId<struct PublishIdTag, std::string>;

//! Sets or deletes one resource.
struct Change
{
  ResourceKey key_;
  common::Version baseVersion_;        //!< Version that last changed the resource; 0 if it is new.
  std::optional<ResourceValue> value_; //!< None if the change deletes the resource.

  bool operator==(const Change&) const = default;
};

//! A set of changes that an operator appends to the log. Accepted or refused as a unit.
struct PublishRecord
{
  PublishId publishId_;
  std::string operator_;
  std::vector<Change> changes_;
  common::Version builtOn_; //!< Version of the state that the changes were computed from.
  std::uint64_t publishedAtMs_ = 0;

  bool operator==(const PublishRecord&) const = default;
};

//! Encodes a record for the log, including the StreamRecord frame.
std::string EncodePublishRecord(const PublishRecord& aRecord);

//! Parses the body of a StreamRecord. The result is incomplete if there are findings.
PublishRecord DecodePublishRecord(const std::string& aBody,
                                  const std::string& aSource,
                                  common::Findings& aFindings);

} // namespace dandelionstand::config

#endif // dandelionstand_config_PublishRecord_h
