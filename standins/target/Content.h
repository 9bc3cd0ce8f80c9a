#ifndef dandelionstand_standins_target_Content_h
#define dandelionstand_standins_target_Content_h

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionstand::standins {

//! What fills a body between the two identities.
enum class Filler
{
  kConstant, //!< One character, which the version of the content chooses: 1 has dots.
  kPosition, //!< A character that depends on the position, so that a lost or shifted byte shows.
};

//! A body that is computed, not kept: the identity of its request and a line end, filler, a line
//! end and the identity again.
class Content
{
public:
  //! aBytes is raised to what the two identities need.
  Content(std::string aIdentity, std::uint64_t aBytes, std::uint64_t aVersion, Filler aFiller);

  std::uint64_t Size() const { return bytes_; }
  //! Equal for two contents only if all their bytes are equal.
  std::string StrongEtag() const;
  //! The bytes from aOffset on, at most aLength.
  std::string Read(std::uint64_t aOffset, std::uint64_t aLength) const;

private:
  char FillerAt(std::uint64_t aOffset) const;

  std::string identity_;
  std::uint64_t bytes_;
  std::uint64_t version_;
  Filler filler_;
};

//! The bytes from first_ to last_, both included.
struct ByteRange
{
  std::uint64_t first_ = 0;
  std::uint64_t last_ = 0;

  bool operator==(const ByteRange&) const = default;
};

//! Parses `bytes=a-b`, `bytes=a-` and `bytes=-n`; none if it is another form or lies outside.
std::optional<ByteRange> ParseRange(const std::string& aText, std::uint64_t aSize);

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_target_Content_h
