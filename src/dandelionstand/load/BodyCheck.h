#ifndef dandelionstand_load_BodyCheck_h
#define dandelionstand_load_BodyCheck_h

#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionstand::load {

//! Checks the body of an answer incrementally, without storing it. A body consists of the identity
//! and a newline, any number of dots as filler, a newline and the identity again.
class BodyCheck
{
public:
  explicit BodyCheck(const std::string& aIdentity);

  void Consume(std::string_view aChunk);

  std::uint64_t ByteCount() const { return byteCount_; }
  //! Whether the bytes consumed so far are a complete body of this identity.
  bool IsMatch() const;

private:
  enum class Part
  {
    kHead,
    kFiller,
    kTail,
    kMismatch,
  };

  void ConsumeByte(char aByte);
  void Advance(char aByte, const std::string& aExpected, Part aNextPart);

  std::string head_;
  std::string tail_;
  Part part_ = Part::kHead;
  std::size_t matchedBytes_ = 0; //!< Bytes matched in the current part.
  std::uint64_t byteCount_ = 0;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_BodyCheck_h
