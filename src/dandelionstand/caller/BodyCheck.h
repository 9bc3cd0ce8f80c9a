#ifndef dandelionstand_caller_BodyCheck_h
#define dandelionstand_caller_BodyCheck_h

#include "dandelionstand/caller/CallTypes.h"

#include <memory>

namespace dandelionstand::caller {

//! Verifies the order, length and checksums of the body frames of one attempt.
class BodyCheck
{
public:
  enum class Frame
  {
    kNext,      //!< The next frame in sequence, with a matching checksum.
    kDuplicate, //!< A frame that was received before; to be ignored.
    kBroken,    //!< A frame is missing before this one, or the checksum does not match.
  };

  BodyCheck();
  ~BodyCheck();

  Frame Add(const AttemptBody& aBody);
  //! Whether the length and checksum of the end frame match the frames added.
  bool MatchesEnd(const AttemptEnd& aEnd) const;

  std::uint64_t Length() const { return length_; }

private:
  struct HashState;

  std::unique_ptr<HashState> hash_;
  std::uint64_t nextSequence_ = 0;
  std::uint64_t length_ = 0;
};

//! 64-bit XXH3 checksum, as body frames carry it.
std::uint64_t ChecksumOf(std::string_view aData);

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_BodyCheck_h
