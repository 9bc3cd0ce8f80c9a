#ifndef dandelionstand_common_JsonReader_h
#define dandelionstand_common_JsonReader_h

#include "dandelionstand/common/LocatedJson.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace dandelionstand::common {

//! Smallest and largest number that a key may have, both included.
struct Range
{
  std::uint64_t least_;
  std::uint64_t most_;
};

//! Reads the keys of one JSON object and collects findings on wrong types, ranges and unknown keys.
//! Each call names the default that is returned if the key is absent or has a finding.
class JsonReader
{
public:
  //! aPointer is the JSON pointer of the object in the document; "" for the whole document.
  JsonReader(const LocatedJson& aDocument, std::string aPointer, Findings& aFindings);

  bool Has(const std::string& aKey) const;
  std::string RequiredString(const std::string& aKey);
  std::string String(const std::string& aKey, const std::string& aDefault);
  //! A string that must be one of aChoices.
  std::string Choice(const std::string& aKey,
                     const std::vector<std::string>& aChoices,
                     const std::string& aDefault);
  std::uint64_t Number(const std::string& aKey, std::uint64_t aDefault, Range aRange);
  std::uint64_t RequiredNumber(const std::string& aKey, Range aRange);
  bool Bool(const std::string& aKey, bool aDefault);
  std::vector<std::string> Strings(const std::string& aKey);
  //! The reader of an object below this one; an absent key reads as an empty object.
  JsonReader Object(const std::string& aKey);
  //! Keys of this object in order.
  std::vector<std::string> Keys() const;

  //! Adds a finding at aKey of this object.
  void AddFinding(const std::string& aKey, const std::string& aMessage);
  //! Adds a finding for each key that no call has asked for.
  void RejectUnknownKeys();

private:
  const nlohmann::json* Find(const std::string& aKey);

  const LocatedJson& document_;
  std::string pointer_;
  Findings& findings_;
  const nlohmann::json* object_ = nullptr;
  std::set<std::string> asked_;
};

} // namespace dandelionstand::common

#endif // dandelionstand_common_JsonReader_h
