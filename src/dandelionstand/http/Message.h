#ifndef dandelionstand_http_Message_h
#define dandelionstand_http_Message_h

#include "dandelionstand/common/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstand::http {

struct Header
{
  std::string name_;
  std::string value_;

  bool operator==(const Header&) const = default;
};

using Headers = std::vector<Header>;

//! Returns the value of the first header with this name, compared without case; empty if it is
//! absent.
std::string_view FindHeader(const Headers& aHeaders, std::string_view aName);

//! A complete request received by a server.
struct Request
{
  std::string method_;
  std::string target_; //!< The request target: path and query as sent.
  Headers headers_;
  std::string body_;
  bool isHttp11_ = true;     //!< False for HTTP/1.0, which has no chunked encoding.
  bool isKeptAlive_ = false; //!< The client allows the connection to be reused.
  std::string clientHost_;   //!< IP address of the client.
  //! When its first byte arrived, or earlier if the process reads its sockets late.
  common::TimePoint arrivedAt_;
  common::TimePoint completedAt_; //!< The same of its last byte.

  //! The request target without its query.
  std::string_view Path() const;
};

struct ResponseHead
{
  std::uint32_t status_ = 0;
  Headers headers_;
};

//! Limits on the requests that a server accepts. Sizes are in bytes.
struct Limits
{
  std::size_t headBytes_ = 16UL * 1024;
  std::size_t bodyBytes_ = 1024UL * 1024;
  std::chrono::microseconds headTime_ =
    std::chrono::seconds(10); //!< To receive a head, from its first byte.
  std::chrono::microseconds idleTime_ =
    std::chrono::seconds(60); //!< Without progress, between requests or in a body.
};

//! Returns the reason phrase of a status; empty for a status that http_parser does not list.
std::string_view ReasonPhrase(std::uint32_t aStatus);

//! Whether the response to a request with this method may have a body.
bool MayHaveBody(const std::string& aMethod, std::uint32_t aStatus);

} // namespace dandelionstand::http

#endif // dandelionstand_http_Message_h
