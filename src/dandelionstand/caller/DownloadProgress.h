#ifndef dandelionstand_caller_DownloadProgress_h
#define dandelionstand_caller_DownloadProgress_h

#include "dandelionstand/caller/CallTypes.h"

namespace dandelionstand::caller {

//! Tracks how much of an answer was forwarded to the caller, and whether a broken download can be
//! continued from another endpoint.
class DownloadProgress
{
public:
  //! Starts tracking an answer whose head was forwarded to the caller. aIsContinuable: the request
  //! may be repeated with a Range header.
  void Begin(const AttemptHead& aHead, bool aIsContinuable);
  void AddForwarded(std::uint64_t aBytes) { forwardedBytes_ += aBytes; }

  //! True if the request is continuable and the answer is a 200 with a strong ETag and a length.
  bool CanContinue() const { return canContinue_; }
  Continuation NextContinuation() const { return { forwardedBytes_, etag_ }; }
  //! The whole body was forwarded, so a failure of the attempt no longer matters.
  bool IsComplete() const { return canContinue_ && forwardedBytes_ == length_; }
  std::uint64_t ForwardedBytes() const { return forwardedBytes_; }

  //! Whether the head continues the same representation: either a 206 from the next byte on, or a
  //! 200 with the complete body, of which the first aSkip bytes were already forwarded.
  bool Accepts(const AttemptHead& aHead, std::uint64_t& aSkip) const;

private:
  bool canContinue_ = false;
  std::string etag_;
  std::uint64_t length_ = 0;
  std::uint64_t forwardedBytes_ = 0;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_DownloadProgress_h
