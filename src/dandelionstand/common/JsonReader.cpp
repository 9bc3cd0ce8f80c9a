#include "dandelionstand/common/JsonReader.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace dandelionstand::common {

namespace {

using nlohmann::json;

const json kEmptyObject = json::object();

//! Resolves a JSON pointer whose parents are all objects. Returns null if a key is absent or a
//! parent is not an object.
const json* ResolvePointer(const json& aRoot, const std::string& aPointer)
{
  const json* current = &aRoot;
  std::size_t start = 0;
  while (start < aPointer.size()) {
    const std::size_t next = aPointer.find('/', start + 1);
    const std::string key = aPointer.substr(start + 1, next - start - 1);
    const auto found = current->is_object() ? current->find(key) : current->end();
    if (found == current->end()) {
      return nullptr;
    }
    current = &*found;
    start = next == std::string::npos ? aPointer.size() : next;
  }
  return current;
}

} // namespace

JsonReader::JsonReader(const LocatedJson& aDocument, std::string aPointer, Findings& aFindings)
  : document_(aDocument)
  , pointer_(std::move(aPointer))
  , findings_(aFindings)
{
  const json* found = ResolvePointer(document_.value_, pointer_);
  if (found != nullptr && found->is_object()) {
    object_ = found;
    return;
  }
  object_ = &kEmptyObject;
  if (found != nullptr) {
    findings_.Add(document_.At(pointer_), "must be an object");
  }
}

const json* JsonReader::Find(const std::string& aKey)
{
  readKeys_.insert(aKey);
  const auto found = object_->find(aKey);
  return found == object_->end() ? nullptr : &*found;
}

bool JsonReader::Has(const std::string& aKey) const
{
  return object_->contains(aKey);
}

std::string JsonReader::RequiredString(const std::string& aKey)
{
  if (!Has(aKey)) {
    readKeys_.insert(aKey);
    findings_.Add(document_.At(pointer_), "key '" + aKey + "' is missing");
    return "";
  }
  std::string text = String(aKey, "");
  const json* value = Find(aKey);
  if (value->is_string() && text.empty()) {
    AddFinding(aKey, "must not be empty");
  }
  return text;
}

std::string JsonReader::String(const std::string& aKey, const std::string& aDefault)
{
  const json* value = Find(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_string()) {
    AddFinding(aKey, "must be a string");
    return aDefault;
  }
  return value->get<std::string>();
}

std::string JsonReader::Choice(const std::string& aKey,
                               const std::vector<std::string>& aChoices,
                               const std::string& aDefault)
{
  const std::string text = String(aKey, aDefault);
  if (std::find(aChoices.begin(), aChoices.end(), text) != aChoices.end()) {
    return text;
  }
  std::string list;
  for (const std::string& choice : aChoices) {
    list += (list.empty() ? "" : ", ") + choice;
  }
  AddFinding(aKey, "must be one of " + list);
  return aDefault;
}

std::uint64_t JsonReader::Number(const std::string& aKey, std::uint64_t aDefault, Range aRange)
{
  const json* value = Find(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  const bool isInRange = value->is_number_unsigned() &&
                         value->get<std::uint64_t>() >= aRange.min_ &&
                         value->get<std::uint64_t>() <= aRange.max_;
  if (!isInRange) {
    AddFinding(aKey,
               "must be a whole number from " + std::to_string(aRange.min_) + " to " +
                 std::to_string(aRange.max_));
    return aDefault;
  }
  return value->get<std::uint64_t>();
}

std::uint64_t JsonReader::RequiredNumber(const std::string& aKey, Range aRange)
{
  if (!Has(aKey)) {
    readKeys_.insert(aKey);
    findings_.Add(document_.At(pointer_), "key '" + aKey + "' is missing");
    return aRange.min_;
  }
  return Number(aKey, aRange.min_, aRange);
}

std::optional<double> JsonReader::OptionalDecimal(const std::string& aKey, double aMin, double aMax)
{
  const json* value = Find(aKey);
  if (value == nullptr || value->is_null()) {
    return std::nullopt;
  }
  if (!value->is_number() || value->get<double>() < aMin || value->get<double>() > aMax) {
    std::ostringstream message;
    message << "must be a number from " << aMin << " to " << aMax;
    AddFinding(aKey, message.str());
    return std::nullopt;
  }
  return value->get<double>();
}

bool JsonReader::Bool(const std::string& aKey, bool aDefault)
{
  const json* value = Find(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    AddFinding(aKey, "must be true or false");
    return aDefault;
  }
  return value->get<bool>();
}

std::vector<std::string> JsonReader::Strings(const std::string& aKey)
{
  std::vector<std::string> texts;
  const json* value = Find(aKey);
  if (value == nullptr) {
    return texts;
  }
  if (!value->is_array()) {
    AddFinding(aKey, "must be an array of strings");
    return texts;
  }
  for (std::size_t index = 0; index < value->size(); ++index) {
    if ((*value)[index].is_string()) {
      texts.push_back((*value)[index].get<std::string>());
    } else {
      AddFinding(aKey + "/" + std::to_string(index), "must be a string");
    }
  }
  return texts;
}

JsonReader JsonReader::Object(const std::string& aKey)
{
  readKeys_.insert(aKey);
  return { document_, pointer_ + "/" + aKey, findings_ };
}

std::vector<std::string> JsonReader::Keys() const
{
  std::vector<std::string> keys;
  for (const auto& item : object_->items()) {
    keys.push_back(item.key());
  }
  return keys;
}

void JsonReader::AddFinding(const std::string& aKey, const std::string& aMessage)
{
  findings_.Add(document_.At(pointer_ + "/" + aKey), aMessage);
}

void JsonReader::RejectUnknownKeys()
{
  for (const auto& item : object_->items()) {
    if (!readKeys_.contains(item.key())) {
      AddFinding(item.key(), "unknown key");
    }
  }
}

} // namespace dandelionstand::common
