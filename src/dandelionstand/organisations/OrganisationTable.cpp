#include "dandelionstand/organisations/OrganisationTable.h"

#include <algorithm>
#include <utility>

namespace dandelionstand::organisations {

namespace {

//! Names are sent to targets as values of a header.
bool IsPrintable(const std::string& aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
    return aCharacter >= ' ' && aCharacter != '\x7f';
  });
}

template<typename Map, typename Key>
const Organisation* FindIn(const Map& aMap, const Key& aKey)
{
  const auto found = aMap.find(aKey);
  return found == aMap.end() ? nullptr : found->second;
}

} // namespace

std::string OrganisationTable::Add(Organisation aOrganisation,
                                   const std::vector<std::string>& aKeys)
{
  const std::string& name = aOrganisation.name_.Get();
  if (name.empty() || name.size() > kMaxNameBytes || !IsPrintable(name)) {
    return "a name has 1 to " + std::to_string(kMaxNameBytes) + " printable bytes";
  }
  if (byName_.contains(aOrganisation.name_)) {
    // A document with exchanged columns may have a key in place of the name.
    return "an organisation before has the same name";
  }
  const Organisation& added = organisations_.emplace_back(std::move(aOrganisation));
  byName_.emplace(added.name_, &added);
  for (const std::string& key : aKeys) {
    if (key.empty() || key.size() > kMaxKeyBytes) {
      return "a key has 1 to " + std::to_string(kMaxKeyBytes) + " bytes, one has " +
             std::to_string(key.size());
    }
    const auto [entry, isNew] = byKey_.emplace(KeyDigest::Of(key), &added);
    if (!isNew && entry->second != &added) {
      return "has a key of an organisation before";
    }
  }
  return "";
}

std::vector<std::string> OrganisationTable::ShortDigestsOf(const Organisation& aOrganisation) const
{
  std::vector<std::string> digests;
  for (const auto& [digest, organisation] : byKey_) {
    if (organisation->name_ == aOrganisation.name_) {
      digests.push_back(digest.ShortText());
    }
  }
  std::sort(digests.begin(), digests.end());
  return digests;
}

const Organisation* OrganisationTable::FindByKey(const KeyDigest& aDigest) const
{
  return FindIn(byKey_, aDigest);
}

const Organisation* OrganisationTable::Find(const common::OrganisationName& aName) const
{
  return FindIn(byName_, aName);
}

} // namespace dandelionstand::organisations
