#ifndef dandelionstand_http_Message_h
#define dandelionstand_http_Message_h

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

//! The first value of a header, without regard to case; empty if it is absent.
std::string_view FindHeader(const Headers& aHeaders, std::string_view aName);

//! A whole request as it came from a connection.
struct Request
{
  std::string method_;
  std::string target_; //!< Path and query as they were sent.
  Headers headers_;
  std::string body_;
  bool isHttp11_ = true;     //!< False for HTTP/1.0, which knows no chunks.
  bool isKeptAlive_ = false; //!< The client will use the connection again.

  //! The target without its query.
  std::string_view Path() const;
};

//! Head of a response.
struct ResponseHead
{
  std::uint32_t status_ = 0;
  Headers headers_;
};

//! What a server takes from a client. Sizes in bytes.
struct Limits
{
  std::size_t headBytes_ = 16UL * 1024;
  std::size_t bodyBytes_ = 1024UL * 1024;
  std::chrono::microseconds headTime_ =
    std::chrono::seconds(10); //!< For a head, from its first byte.
  std::chrono::microseconds idleTime_ =
    std::chrono::seconds(60); //!< Between requests, or in a body.
};

//! The reason phrase of a status; empty for an uncommon one.
std::string_view ReasonPhrase(std::uint32_t aStatus);

//! Whether a response may have a body at all.
bool MayHaveBody(const std::string& aMethod, std::uint32_t aStatus);

} // namespace dandelionstand::http

#endif // dandelionstand_http_Message_h
