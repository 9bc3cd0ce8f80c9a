#ifndef dandelionstand_standins_ControlReader_h
#define dandelionstand_standins_ControlReader_h

#include "dandelionstand/common/Time.h"
#include "standins/HttpServer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace dandelionstand::standins {

//! Reads the JSON object of a control request. Read leaves aValue unchanged if the key is absent
//! and throws std::invalid_argument if the value has the wrong type.
class ControlReader
{
public:
  //! Throws std::invalid_argument if the text is not a JSON object.
  explicit ControlReader(const std::string& aText);
  //! Throws std::invalid_argument if the value is not an object.
  explicit ControlReader(nlohmann::json aObject);

  void Read(const char* aKey, std::uint64_t& aValue);
  void Read(const char* aKey, bool& aValue);
  void Read(const char* aKey, std::string& aValue);
  //! Reads a number of milliseconds.
  void Read(const char* aKey, common::Duration& aValue);

  //! Throws std::invalid_argument if the object has a key that was never read.
  void RejectUnknownKeys() const;

private:
  //! Marks the key as read; returns null if it is absent.
  const nlohmann::json* Find(const char* aKey);

  nlohmann::json object_;
  std::set<std::string> readKeys_;
};

//! Answers with 200 and a JSON value.
void SendJson(Responder& aResponder, const nlohmann::json& aValue);

//! Answers with a status and one line of text.
void SendText(Responder& aResponder, int aStatus, const std::string& aText);

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_ControlReader_h
