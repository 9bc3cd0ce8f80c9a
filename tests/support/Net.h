#ifndef dandelionstand_tests_support_Net_h
#define dandelionstand_tests_support_Net_h

#include "dandelionstand/common/Ids.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace dandelionstand::tests {

//! An address on the loopback IP whose port is free now. Its ports lie below those that the system
//! hands out to outgoing connections.
common::Address FreeAddress(const std::string& aIp);

using Headers = std::map<std::string, std::string>;

//! An answer; status 0 stands for none (refused, broken or timed out).
struct HttpReply
{
  int status_ = 0;
  Headers headers_; //!< By lower-case name.
  std::string body_;

  //! The header, or "".
  std::string Header(const std::string& aLowerCaseName) const;
  //! The body as JSON; throws if it is none.
  nlohmann::json Json() const;
};

//! What a request may have besides its path; every field has a default.
struct RequestOptions
{
  Headers headers_;
  std::string sourceIp_;
  std::chrono::milliseconds timeout_ = std::chrono::seconds(60);
};

//! Sends a request and waits for its answer. aTarget is the path and query.
HttpReply HttpGet(const common::Address& aAddress,
                  const std::string& aTarget,
                  const RequestOptions& aOptions = {});
HttpReply HttpPost(const common::Address& aAddress,
                   const std::string& aTarget,
                   const std::string& aBody,
                   const RequestOptions& aOptions = {});
//! Posts JSON and throws if the answer is not 200.
void PostJson(const common::Address& aAddress,
              const std::string& aTarget,
              const nlohmann::json& aBody);
//! Gets JSON and throws if the answer is not 200.
nlohmann::json GetJson(const common::Address& aAddress, const std::string& aTarget);

//! The value of a counter in the text exposition format; 0 if absent.
std::uint64_t MetricIn(const std::string& aText, const std::string& aName);

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_Net_h
