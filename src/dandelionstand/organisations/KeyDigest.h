#ifndef dandelionstand_organisations_KeyDigest_h
#define dandelionstand_organisations_KeyDigest_h

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionstand::organisations {

//! BLAKE2b digest of an API key, which stands for the key wherever it is not needed itself. Keys
//! are secrets and are not retained.
class KeyDigest
{
public:
  static constexpr std::size_t kBytes = 16;

  static KeyDigest Of(std::string_view aKey);
  //! nullopt unless there are exactly kBytes bytes.
  static std::optional<KeyDigest> FromBytes(std::string_view aBytes);

  std::string Bytes() const { return { bytes_.begin(), bytes_.end() }; }
  //! The first four bytes in hexadecimal digits, for operators.
  std::string ShortText() const;
  std::size_t Hash() const;
  //! Takes the same time wherever the digests differ.
  bool operator==(const KeyDigest& aOther) const;

private:
  std::array<unsigned char, kBytes> bytes_{};
};

struct KeyDigestHash
{
  std::size_t operator()(const KeyDigest& aDigest) const { return aDigest.Hash(); }
};

} // namespace dandelionstand::organisations

#endif // dandelionstand_organisations_KeyDigest_h
