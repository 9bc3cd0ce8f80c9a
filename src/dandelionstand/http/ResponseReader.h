#ifndef dandelionstand_http_ResponseReader_h
#define dandelionstand_http_ResponseReader_h

#include "dandelionstand/http/Message.h"

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace dandelionstand::http {

//! Incremental parser for the responses on one connection.
class ResponseReader
{
public:
  struct Events
  {
    std::function<void(ResponseHead)> onHead_;
    std::function<void(std::string_view)> onBody_;
    std::function<void()> onEnd_;
  };

  explicit ResponseReader(Events aEvents);

  //! Prepares for the response to a request with this method.
  void ExpectResponseTo(const std::string& aMethod);
  //! Parses aBytes up to the end of the response and sets aUsed to the number of bytes consumed.
  //! Returns false if the response is malformed.
  bool Read(std::string_view aBytes, std::size_t& aUsed);
  //! Handles an orderly end of the connection. Returns true if the response is complete with it.
  bool ReadEof();
  //! True if the connection can be reused after the response.
  bool IsKeptAlive() const { return isKeptAlive_; }

private:
  static int OnField(http_parser* aParser, const char* aText, std::size_t aSize);
  static int OnValue(http_parser* aParser, const char* aText, std::size_t aSize);
  static int OnHeadersComplete(http_parser* aParser);
  static int OnBody(http_parser* aParser, const char* aText, std::size_t aSize);
  static int OnComplete(http_parser* aParser);
  static const http_parser_settings& Callbacks();

  http_parser parser_{};
  Events events_;
  ResponseHead head_;
  std::size_t headBytes_ = 0;
  bool isInValue_ = false;
  bool areHeadersComplete_ = false;
  bool isHeadRequest_ = false;
  bool isComplete_ = false;
  bool isKeptAlive_ = false;
};

} // namespace dandelionstand::http

#endif // dandelionstand_http_ResponseReader_h
