#include "dandelionstand/config/StateHash.h"

#include "dandelionstand/config/ResourceJson.h"

#include <xxhash.h>

#include <memory>
#include <string>

namespace dandelionstand::config {

namespace {

//! Hashes numbers as little-endian bytes and texts with a length prefix, so that the input is the
//! same on every machine and differs between different states.
class Hasher
{
public:
  Hasher()
    : state_(XXH3_createState(), &XXH3_freeState)
  {
    XXH3_64bits_reset(state_.get());
  }

  void Add(std::uint64_t aNumber)
  {
    std::uint8_t bytes[sizeof(aNumber)];
    for (std::uint8_t& byte : bytes) {
      byte = static_cast<std::uint8_t>(aNumber);
      aNumber >>= 8;
    }
    XXH3_64bits_update(state_.get(), bytes, sizeof(bytes));
  }

  void Add(const std::string& aText)
  {
    Add(aText.size());
    XXH3_64bits_update(state_.get(), aText.data(), aText.size());
  }

  void Add(const ResourceKey& aKey, common::Version aVersion)
  {
    Add(static_cast<std::uint64_t>(aKey.kind_));
    Add(aKey.name_);
    Add(aVersion.Get());
  }

  std::uint64_t Digest() const { return XXH3_64bits_digest(state_.get()); }

private:
  std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state_;
};

} // namespace

StateHash HashOf(const ConfigState& aState)
{
  Hasher hasher;
  hasher.Add(aState.version_.Get());
  const std::vector<Resource> resources = aState.Resources();
  hasher.Add(resources.size());
  for (const Resource& resource : resources) {
    hasher.Add(resource.key_, resource.version_);
    hasher.Add(CanonicalJson(resource.value_));
  }
  for (const auto& [key, version] : aState.deleted_) {
    hasher.Add(key, version);
  }
  return StateHash(hasher.Digest());
}

} // namespace dandelionstand::config
