#include "dandelionstand/target/IncomingBody.h"

#include <xxhash.h>

namespace dandelionstand::target {

IncomingBody::State IncomingBody::Add(std::uint64_t aOffset, std::string_view aData)
{
  // Pieces arrive in order on a link; a different offset means that one was lost.
  if (aOffset != data_.size() || aData.size() > expectedBytes_ - data_.size()) {
    return State::kBroken;
  }
  data_ += aData;
  if (data_.size() < expectedBytes_) {
    return State::kIncomplete;
  }
  return XXH3_64bits(data_.data(), data_.size()) == checksum_ ? State::kComplete : State::kBroken;
}

} // namespace dandelionstand::target
