#include "dandelionstand/caller/BodyCheck.h"

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace dandelionstand::caller {

struct BodyCheck::HashState
{
  XXH3_state_t state_;
};

BodyCheck::BodyCheck()
  : hash_(std::make_unique<HashState>())
{
  XXH3_64bits_reset(&hash_->state_);
}

BodyCheck::~BodyCheck() = default;

BodyCheck::Frame BodyCheck::Add(const AttemptBody& aBody)
{
  if (aBody.sequence_ < nextSequence_) {
    return Frame::kDuplicate;
  }
  if (aBody.sequence_ > nextSequence_ || ChecksumOf(aBody.data_) != aBody.checksum_) {
    return Frame::kBroken;
  }
  ++nextSequence_;
  length_ += aBody.data_.size();
  XXH3_64bits_update(&hash_->state_, aBody.data_.data(), aBody.data_.size());
  return Frame::kNext;
}

bool BodyCheck::MatchesEnd(const AttemptEnd& aEnd) const
{
  return aEnd.length_ == length_ && aEnd.checksum_ == XXH3_64bits_digest(&hash_->state_);
}

std::uint64_t ChecksumOf(std::string_view aData)
{
  return XXH3_64bits(aData.data(), aData.size());
}

} // namespace dandelionstand::caller
