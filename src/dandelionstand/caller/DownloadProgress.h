#ifndef dandelionstand_caller_DownloadProgress_h
#define dandelionstand_caller_DownloadProgress_h

#include "dandelionstand/caller/CallTypes.h"

namespace dandelionstand::caller {

//! How much of an answer the caller has, and whether another endpoint may send the rest.
class DownloadProgress
{
public:
  //! Takes the head that was passed on to the caller.
  void Begin(const AttemptHead& aHead, bool aMayContinue);
  void AddForwarded(std::uint64_t aBytes) { passed_ += aBytes; }

  //! Set if the answer has a strong ETag and a length.
  bool CanContinue() const { return canContinue_; }
  Continuation NextContinuation() const { return { passed_, etag_ }; }
  //! Everything was passed on; what ended the attempt does not matter any more.
  bool IsComplete() const { return canContinue_ && passed_ == length_; }
  std::uint64_t AddForwarded() const { return passed_; }

  //! Whether the head answers NextContinuation() with the same representation: 206 from that byte
  //! on, or 200 with the whole, of which aSkip bytes are known already.
  bool Accepts(const AttemptHead& aHead, std::uint64_t& aSkip) const;

private:
  bool canContinue_ = false;
  std::string etag_;
  std::uint64_t length_ = 0;
  std::uint64_t passed_ = 0;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_DownloadProgress_h
