#ifndef dandelionstand_organisations_OrganisationTable_h
#define dandelionstand_organisations_OrganisationTable_h

#include "dandelionstand/organisations/KeyDigest.h"
#include "dandelionstand/organisations/Organisation.h"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dandelionstand::organisations {

//! The organisations of one configuration and the digests of their keys. Looking one up takes the
//! same time at any number of them.
class OrganisationTable
{
public:
  static constexpr std::size_t kMaxNameBytes = 255;
  static constexpr std::size_t kMaxKeyBytes = 1024;

  //! Adds an organisation and its keys. Returns what is wrong with them, without any key; empty if
  //! nothing is. The table is not usable after a fault.
  std::string Add(Organisation aOrganisation, const std::vector<std::string>& aKeys);

  bool IsEmpty() const { return organisations_.empty(); }
  std::size_t KeyCount() const { return byKey_.size(); }
  //! In the order in which they were added.
  const std::deque<Organisation>& All() const { return organisations_; }
  //! The digests of an organisation's keys, sorted as text.
  std::vector<std::string> ShortDigestsOf(const Organisation& aOrganisation) const;

  //! Null if no organisation has the key.
  const Organisation* FindByKey(const KeyDigest& aDigest) const;
  const Organisation* Find(const common::OrganisationName& aName) const;

private:
  std::deque<Organisation> organisations_; //!< Its elements stay where they are.
  std::unordered_map<common::OrganisationName, const Organisation*> byName_;
  std::unordered_map<KeyDigest, const Organisation*, KeyDigestHash> byKey_;
};

} // namespace dandelionstand::organisations

#endif // dandelionstand_organisations_OrganisationTable_h
