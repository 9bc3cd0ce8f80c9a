#ifndef dandelionstand_load_BodyCheck_h
#define dandelionstand_load_BodyCheck_h

#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionstand::load {

//! Checks the body of an answer piece by piece: the identity and a line end, filler dots, a line
//! end and the identity again. Keeps nothing of the body.
class BodyCheck
{
public:
  explicit BodyCheck(const std::string& aIdentity);

  void Take(std::string_view aPiece);

  std::uint64_t Bytes() const { return bytes_; }
  //! Whether the bytes so far are a whole body of this identity.
  bool IsOwn() const;

private:
  enum class Part
  {
    kHead,
    kFiller,
    kTail,
    kWrong,
  };

  void TakeByte(char aByte);
  void Advance(char aByte, const std::string& aExpected, Part aNext);

  std::string head_;
  std::string tail_;
  Part part_ = Part::kHead;
  std::size_t matched_ = 0; //!< Bytes of the present part.
  std::uint64_t bytes_ = 0;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_BodyCheck_h
