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

//! Picks a free port on a loopback IP. Ports lie below the range that the system assigns to
//! outgoing connections.
common::Address FreeAddress(const std::string& aIp);

using Headers = std::map<std::string, std::string>;

//! An HTTP answer. Status 0 means that there was none: connection refused or broken, or time-out.
struct HttpReply
{
  int status_ = 0;
  Headers headers_; //!< Keys are lower-case names.
  std::string body_;

  //! The header's value, or "" if absent.
  std::string Header(const std::string& aLowerCaseName) const;
  //! Parses the body as JSON; throws if it is not.
  nlohmann::json Json() const;
};

//! Optional parts of a request.
struct RequestOptions
{
  Headers headers_;
  std::string sourceIp_;
  std::chrono::milliseconds timeout_ = std::chrono::seconds(60);
};

//! Sends a request and waits for its answer.
HttpReply HttpGet(const common::Address& aAddress,
                  const std::string& aPathAndQuery,
                  const RequestOptions& aOptions = {});
HttpReply HttpPost(const common::Address& aAddress,
                   const std::string& aPathAndQuery,
                   const std::string& aBody,
                   const RequestOptions& aOptions = {});
//! Posts JSON; throws if the answer is not 200.
void PostJson(const common::Address& aAddress,
              const std::string& aPathAndQuery,
              const nlohmann::json& aBody);
//! Gets JSON; throws if the answer is not 200.
nlohmann::json GetJson(const common::Address& aAddress, const std::string& aPathAndQuery);

//! Value of a counter in Prometheus text format; 0 if absent.
std::uint64_t ParseMetric(const std::string& aMetricsText, const std::string& aName);

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_Net_h
