#include "dandelionstand/http/HeadCheck.h"

#include "dandelionstand/common/HttpHeaders.h"

#include <algorithm>
#include <cctype>

namespace dandelionstand::http {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

bool IsTokenCharacter(unsigned char aCharacter)
{
  return std::isalnum(aCharacter) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(aCharacter)) !=
           std::string_view::npos;
}

bool IsToken(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsTokenCharacter);
}

bool IsNumber(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
    return std::isdigit(aCharacter) != 0;
  });
}

bool HasControlCharacter(std::string_view aText)
{
  return std::any_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
    return std::iscntrl(aCharacter) != 0 && aCharacter != '\t';
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

//! Removes the next line from the text and returns it without its line end.
std::string_view ConsumeLine(std::string_view& aText)
{
  const auto end = std::min(aText.find(kLineEnd), aText.size());
  const std::string_view line = aText.substr(0, end);
  aText.remove_prefix(std::min(end + kLineEnd.size(), aText.size()));
  return line;
}

//! Numbers of the headers that determine where a request ends and which host it is for.
struct FramingHeaderCounts
{
  int contentLengthCount_ = 0;
  int transferEncodingCount_ = 0;
  int hostCount_ = 0;
};

std::string_view CheckHeader(std::string_view aLine, FramingHeaderCounts& aCounts)
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
    ++aCounts.contentLengthCount_;
    return IsNumber(value) ? "" : "malformed Content-Length";
  }
  if (common::EqualsIgnoringCase(name, "transfer-encoding")) {
    ++aCounts.transferEncodingCount_;
    return common::EqualsIgnoringCase(value, "chunked") ? "" : "unknown Transfer-Encoding";
  }
  if (common::EqualsIgnoringCase(name, "host")) {
    ++aCounts.hostCount_;
    return value.empty() ? "empty Host" : "";
  }
  return {};
}

} // namespace

std::string_view CheckRequestHead(std::string_view aHead)
{
  if (HasControlCharacter(ConsumeLine(aHead))) {
    return "control character in the request line";
  }
  FramingHeaderCounts counts;
  for (std::string_view line = ConsumeLine(aHead); !line.empty(); line = ConsumeLine(aHead)) {
    const std::string_view fault = CheckHeader(line, counts);
    if (!fault.empty()) {
      return fault;
    }
  }
  if (counts.hostCount_ != 1) {
    return counts.hostCount_ == 0 ? "no Host" : "more than one Host";
  }
  if (counts.contentLengthCount_ > 1 || counts.transferEncodingCount_ > 1 ||
      counts.contentLengthCount_ + counts.transferEncodingCount_ > 1) {
    return "more than one length";
  }
  return {};
}

} // namespace dandelionstand::http
