#ifndef dandelionstand_http_RequestReader_h
#define dandelionstand_http_RequestReader_h

#include "dandelionstand/http/Message.h"

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace dandelionstand::http {

//! Incremental parser for the requests on one connection.
class RequestReader
{
public:
  enum class State
  {
    kIdle,     //!< No request has been started.
    kHead,     //!< Within the head of a request.
    kBody,     //!< Within the body of a request.
    kComplete, //!< ExtractRequest returns a request.
    kFailed,   //!< The request is invalid; see Status and Fault.
  };

  RequestReader();

  //! Parses aBytes up to the end of the current request. Returns the number of bytes consumed. If
  //! bytes remain before kComplete is reached, more input is needed; pass them again with it.
  std::size_t Read(std::string_view aBytes, const Limits& aLimits);

  State CurrentState() const { return state_; }
  //! The response status for an invalid request.
  std::uint32_t Status() const { return status_; }
  //! Describes why the request is invalid.
  const std::string& Fault() const { return fault_; }
  //! True if the client waits for a 100 (Continue) response before it sends the body.
  bool ExpectsContinue() const { return expectsContinue_; }
  void OnContinueSent() { expectsContinue_ = false; }
  //! Moves out the complete request and starts over with the next one.
  Request ExtractRequest();

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
  bool isInValue_ = false;
  bool areHeadersComplete_ = false;
  bool expectsContinue_ = false;
  std::size_t maxBodyBytes_ = 0;
};

} // namespace dandelionstand::http

#endif // dandelionstand_http_RequestReader_h
