#ifndef dandelionstand_common_JsonReader_h
#define dandelionstand_common_JsonReader_h

#include "dandelionstand/common/LocatedJson.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandelionstand::common {

//! Allowed values of a number; both bounds are inclusive.
struct Range
{
  std::uint64_t min_;
  std::uint64_t max_;
};

//! Reads the values of one JSON object and adds a finding for each wrong type, value out of range
//! or unknown key. The optional getters return their default if the key is absent or its value is
//! invalid.
class JsonReader
{
public:
  //! aPointer is the JSON pointer of the object in the document; "" is the root.
  JsonReader(const LocatedJson& aDocument, std::string aPointer, Findings& aFindings);

  bool Has(const std::string& aKey) const;
  std::string RequiredString(const std::string& aKey);
  std::string String(const std::string& aKey, const std::string& aDefault);
  //! Reads a string that must be one of aChoices.
  std::string Choice(const std::string& aKey,
                     const std::vector<std::string>& aChoices,
                     const std::string& aDefault);
  std::uint64_t Number(const std::string& aKey, std::uint64_t aDefault, Range aRange);
  std::uint64_t RequiredNumber(const std::string& aKey, Range aRange);
  //! Reads a number that may have a fraction; nullopt if the key is absent or null.
  std::optional<double> OptionalDecimal(const std::string& aKey, double aMin, double aMax);
  bool Bool(const std::string& aKey, bool aDefault);
  std::vector<std::string> Strings(const std::string& aKey);
  //! Returns a reader for a nested object. An absent key is read as an empty object.
  JsonReader Object(const std::string& aKey);
  //! Returns the keys of this object in sorted order.
  std::vector<std::string> Keys() const;

  //! Adds a finding located at aKey of this object.
  void AddFinding(const std::string& aKey, const std::string& aMessage);
  //! Adds a finding for each key that has not been read. Has and Keys do not count as reading.
  void RejectUnknownKeys();

private:
  const nlohmann::json* Find(const std::string& aKey);

  const LocatedJson& document_;
  std::string pointer_;
  Findings& findings_;
  const nlohmann::json* object_ = nullptr;
  std::set<std::string> readKeys_;
};

} // namespace dandelionstand::common

#endif // dandelionstand_common_JsonReader_h
