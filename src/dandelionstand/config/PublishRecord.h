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

//! Unique id of one publish; a lost answer is settled by looking it up in the log.
using PublishId = common::StrongId<struct PublishIdTag, std::string>;

//! A new value of one resource, or its deletion.
struct Change
{
  ResourceKey key_;
  common::Version baseVersion_;        //!< Version that last changed the resource; 0 if it is new.
  std::optional<ResourceValue> value_; //!< Absent if the resource is deleted.

  bool operator==(const Change&) const = default;
};

//! What an operator appends to the log. Accepted whole or not at all.
struct PublishRecord
{
  PublishId publishId_;
  std::string operator_;
  std::vector<Change> changes_;
  common::Version builtOn_; //!< Version of the state that the operator saw.
  std::uint64_t publishedAtMs_ = 0;

  bool operator==(const PublishRecord&) const = default;
};

//! The bytes of a record in the log.
std::string EncodePublishRecord(const PublishRecord& aRecord);

//! Parses the body of a stream record; the result is to be used only if there are no findings.
PublishRecord DecodePublishRecord(const std::string& aBody,
                                  const std::string& aSource,
                                  common::Findings& aFindings);

} // namespace dandelionstand::config

#endif // dandelionstand_config_PublishRecord_h
