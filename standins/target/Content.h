#ifndef dandelionstand_standins_target_Content_h
#define dandelionstand_standins_target_Content_h

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionstand::standins {

//! The bytes between the two copies of the identity.
enum class Filler
{
  kConstant, //!< One character, given by the version of the content; '.' for version 1.
  kPosition, //!< Characters that depend on the position, which reveals lost and shifted bytes.
};

//! A body that is computed when it is read, not stored. It consists of the identity of its request,
//! a newline, filler, a newline and the identity again.
class Content
{
public:
  //! aBytes is the size; it is raised to the minimum that holds both identities.
  Content(std::string aIdentity, std::uint64_t aBytes, std::uint64_t aVersion, Filler aFiller);

  std::uint64_t Size() const { return size_; }
  //! Differs between contents that differ in any byte.
  std::string StrongEtag() const;
  //! Returns the bytes from aOffset on, at most aLength.
  std::string Read(std::uint64_t aOffset, std::uint64_t aLength) const;

private:
  char FillerAt(std::uint64_t aOffset) const;

  std::string identity_;
  std::uint64_t size_;
  std::uint64_t version_;
  Filler filler_;
};

//! The bytes from first_ to last_, inclusive.
struct ByteRange
{
  std::uint64_t first_ = 0;
  std::uint64_t last_ = 0;

  bool operator==(const ByteRange&) const = default;
};

//! Parses `bytes=a-b`, `bytes=a-` and `bytes=-n`. Returns nullopt for any other form and for a
//! range that starts beyond aSize.
std::optional<ByteRange> ParseRange(const std::string& aText, std::uint64_t aSize);

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_target_Content_h
