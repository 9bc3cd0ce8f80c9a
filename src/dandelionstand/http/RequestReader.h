#ifndef dandelionstand_http_RequestReader_h
#define dandelionstand_http_RequestReader_h

#include "dandelionstand/http/Message.h"

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace dandelionstand::http {

//! Takes the requests of one connection apart as their bytes arrive.
class RequestReader
{
public:
  enum class State
  {
    kIdle,     //!< Between two requests.
    kHead,     //!< In a head.
    kBody,     //!< In a body.
    kComplete, //!< A request can be taken.
    kBad,      //!< Nothing more can be read; see Status.
  };

  RequestReader();

  //! Reads from aBytes up to the end of one request at most. Returns the bytes used; fewer than
  //! given before kComplete mean that more are needed to go on.
  std::size_t Read(std::string_view aBytes, const Limits& aLimits);

  State Now() const { return state_; }
  //! The status that a request deserves that cannot be read.
  std::uint32_t Status() const { return status_; }
  const std::string& Fault() const { return fault_; }
  //! True if the client waits for leave to send its body.
  bool ExpectsContinue() const { return expectsContinue_; }
  void ContinueSent() { expectsContinue_ = false; }
  //! The request that is complete; the reader goes on with the next one.
  Request Take();

private:
  static int OnUrl(http_parser* aParser, const char* aText, std::size_t aSize);
  static int OnField(http_parser* aParser, const char* aText, std::size_t aSize);
  static int OnValue(http_parser* aParser, const char* aText, std::size_t aSize);
  static int OnHeadersComplete(http_parser* aParser);
  static int OnBody(http_parser* aParser, const char* aText, std::size_t aSize);
  static int OnComplete(http_parser* aParser);

  std::size_t ReadHead(std::string_view aBytes, const Limits& aLimits);
  std::size_t Parse(std::string_view aBytes);
  void Fail(std::uint32_t aStatus, std::string_view aFault);

  http_parser parser_{};
  State state_ = State::kIdle;
  std::uint32_t status_ = 0;
  std::string fault_;
  Request request_;
  bool inValue_ = false;
  bool headersDone_ = false;
  bool expectsContinue_ = false;
  std::size_t mostBody_ = 0;
};

} // namespace dandelionstand::http

#endif // dandelionstand_http_RequestReader_h
