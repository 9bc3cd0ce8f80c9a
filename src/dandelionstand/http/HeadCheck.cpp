#include "dandelionstand/http/HeadCheck.h"

#include "dandelionstand/common/HttpHeaders.h"

#include <algorithm>
#include <cctype>

namespace dandelionstand::http {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

bool IsTokenCharacter(unsigned char aLetter)
{
  return std::isalnum(aLetter) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(aLetter)) !=
           std::string_view::npos;
}

bool IsToken(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsTokenCharacter);
}

bool IsNumber(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](unsigned char aLetter) {
    return std::isdigit(aLetter) != 0;
  });
}

bool HasControlCharacter(std::string_view aText)
{
  return std::any_of(aText.begin(), aText.end(), [](unsigned char aLetter) {
    return std::iscntrl(aLetter) != 0 && aLetter != '\t';
  });
}

std::string_view Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

//! Takes the next line off the text, without its end.
std::string_view TakeLine(std::string_view& aText)
{
  const auto end = std::min(aText.find(kLineEnd), aText.size());
  const std::string_view line = aText.substr(0, end);
  aText.remove_prefix(std::min(end + kLineEnd.size(), aText.size()));
  return line;
}

//! The headers that decide where a request ends and whom it is for.
struct Framing
{
  int lengths_ = 0;
  int encodings_ = 0;
  int hosts_ = 0;
};

std::string_view CheckHeader(std::string_view aLine, Framing& aFraming)
{
  if (aLine.front() == ' ' || aLine.front() == '\t') {
    return "folded header";
  }
  const auto colon = aLine.find(':');
  if (colon == std::string_view::npos || !IsToken(aLine.substr(0, colon))) {
    return "malformed header name";
  }
  const std::string_view name = aLine.substr(0, colon);
  const std::string_view value = Trim(aLine.substr(colon + 1));
  if (HasControlCharacter(value)) {
    return "control character in a header";
  }
  if (common::EqualsIgnoringCase(name, "content-length")) {
    ++aFraming.lengths_;
    return IsNumber(value) ? "" : "malformed Content-Length";
  }
  if (common::EqualsIgnoringCase(name, "transfer-encoding")) {
    ++aFraming.encodings_;
    return common::EqualsIgnoringCase(value, "chunked") ? "" : "unknown Transfer-Encoding";
  }
  if (common::EqualsIgnoringCase(name, "host")) {
    ++aFraming.hosts_;
    return value.empty() ? "empty Host" : "";
  }
  return {};
}

} // namespace

std::string_view CheckRequestHead(std::string_view aHead)
{
  if (HasControlCharacter(TakeLine(aHead))) {
    return "control character in the request line";
  }
  Framing framing;
  for (std::string_view line = TakeLine(aHead); !line.empty(); line = TakeLine(aHead)) {
    const std::string_view fault = CheckHeader(line, framing);
    if (!fault.empty()) {
      return fault;
    }
  }
  if (framing.hosts_ != 1) {
    return framing.hosts_ == 0 ? "no Host" : "more than one Host";
  }
  if (framing.lengths_ > 1 || framing.encodings_ > 1 || framing.lengths_ + framing.encodings_ > 1) {
    return "more than one length";
  }
  return {};
}

} // namespace dandelionstand::http
