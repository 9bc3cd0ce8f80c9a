#ifndef dandelionstand_standins_ControlReader_h
#define dandelionstand_standins_ControlReader_h

#include "dandelionstand/common/Time.h"
#include "standins/HttpServer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace dandelionstand::standins {

//! Reads the JSON object of a control request; keys that are absent leave their value as it is.
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
  //! A number of milliseconds.
  void Read(const char* aKey, common::Duration& aValue);

  //! Throws std::invalid_argument if there is a key that was not read.
  void RejectUnknownKeys() const;

private:
  const nlohmann::json* Find(const char* aKey);

  nlohmann::json object_;
  std::set<std::string> known_;
};

//! Answers with 200 and a JSON value.
void SendJson(Responder& aResponder, const nlohmann::json& aValue);

//! Answers with a status and one line of text.
void SendText(Responder& aResponder, int aStatus, const std::string& aText);

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_ControlReader_h
