#include "dandelionstand/organisations/KeyDigest.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>

namespace dandelionstand::organisations {

namespace {

constexpr std::size_t kShownBytes = 4;

} // namespace

KeyDigest KeyDigest::Of(std::string_view aKey)
{
  KeyDigest digest;
  crypto_generichash(digest.bytes_.data(),
                     digest.bytes_.size(),
                     reinterpret_cast<const unsigned char*>(aKey.data()),
                     aKey.size(),
                     nullptr,
                     0);
  return digest;
}

std::optional<KeyDigest> KeyDigest::FromBytes(std::string_view aBytes)
{
  if (aBytes.size() != kBytes) {
    return std::nullopt;
  }
  KeyDigest digest;
  std::copy(aBytes.begin(), aBytes.end(), digest.bytes_.begin());
  return digest;
}

std::string KeyDigest::ShortText() const
{
  std::string text(2 * kShownBytes + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes_.data(), kShownBytes);
  text.pop_back();
  return text;
}

std::size_t KeyDigest::Hash() const
{
  std::size_t hash = 0;
  std::memcpy(&hash, bytes_.data(), sizeof(hash));
  return hash;
}

bool KeyDigest::operator==(const KeyDigest& aOther) const
{
  return sodium_memcmp(bytes_.data(), aOther.bytes_.data(), bytes_.size()) == 0;
}

} // namespace dandelionstand::organisations
