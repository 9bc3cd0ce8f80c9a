#include "standins/ControlReader.h"

#include <chrono>
#include <stdexcept>
#include <utility>

namespace dandelionstand::standins {

namespace {

template<typename Value>
void Assign(const char* aKey, const nlohmann::json* aMember, Value& aValue)
{
  if (aMember == nullptr) {
    return;
  }
  try {
    aValue = aMember->get<Value>();
  } catch (const nlohmann::json::exception&) {
    throw std::invalid_argument(std::string("wrong type: ") + aKey);
  }
}

} // namespace

ControlReader::ControlReader(const std::string& aText)
  : ControlReader(nlohmann::json::parse(aText, nullptr, false))
{
}

ControlReader::ControlReader(nlohmann::json aObject)
  : object_(std::move(aObject))
{
  if (!object_.is_object()) {
    throw std::invalid_argument("expected a JSON object");
  }
}

void ControlReader::Read(const char* aKey, std::uint64_t& aValue)
{
  Assign(aKey, Find(aKey), aValue);
}

void ControlReader::Read(const char* aKey, bool& aValue)
{
  Assign(aKey, Find(aKey), aValue);
}

void ControlReader::Read(const char* aKey, std::string& aValue)
{
  Assign(aKey, Find(aKey), aValue);
}

void ControlReader::Read(const char* aKey, common::Duration& aValue)
{
  std::uint64_t milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(aValue).count();
  Read(aKey, milliseconds);
  aValue = std::chrono::milliseconds(milliseconds);
}

void ControlReader::RejectUnknownKeys() const
{
  for (const auto& [key, value] : object_.items()) {
    if (readKeys_.count(key) == 0) {
      throw std::invalid_argument("unknown key: " + key);
    }
  }
}

const nlohmann::json* ControlReader::Find(const char* aKey)
{
  readKeys_.insert(aKey);
  const auto found = object_.find(aKey);
  return found == object_.end() ? nullptr : &*found;
}

void SendJson(Responder& aResponder, const nlohmann::json& aValue)
{
  aResponder.Send(200, { { "Content-Type", "application/json" } }, aValue.dump());
}

void SendText(Responder& aResponder, int aStatus, const std::string& aText)
{
  aResponder.Send(aStatus, { { "Content-Type", "text/plain" } }, aText + "\n");
}

} // namespace dandelionstand::standins
