#ifndef dandelionstand_http_ResponseReader_h
#define dandelionstand_http_ResponseReader_h

#include "dandelionstand/http/Message.h"

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace dandelionstand::http {

//! Takes the responses on a client's connection apart as their bytes arrive.
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

  //! A response to a request of this method is expected next.
  void Expect(const std::string& aMethod);
  //! False if the bytes are no response. Stops at the end of a response; aUsed tells where.
  bool Read(std::string_view aBytes, std::size_t& aUsed);
  //! The connection ended in order. True if that ends the response as it should.
  bool ReadEnd();
  //! True if the connection may be used again after the response.
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
  bool inValue_ = false;
  bool headersDone_ = false;
  bool skipsBody_ = false; //!< The request was a HEAD.
  bool isComplete_ = false;
  bool isKeptAlive_ = false;
};

} // namespace dandelionstand::http

#endif // dandelionstand_http_ResponseReader_h
