#include "dandelionstand/http/Message.h"

#include "dandelionstand/common/HttpHeaders.h"

#include <http_parser.h>

namespace dandelionstand::http {

namespace {

constexpr std::uint32_t kFirstFinalStatus = 200;
constexpr std::uint32_t kNoContent = 204;
constexpr std::uint32_t kNotModified = 304;

} // namespace

std::string_view FindHeader(const Headers& aHeaders, std::string_view aName)
{
  for (const Header& header : aHeaders) {
    if (common::EqualsIgnoringCase(header.name_, aName)) {
      return header.value_;
    }
  }
  return {};
}

std::string_view Request::Path() const
{
  const std::string_view target = target_;
  return target.substr(0, target.find('?'));
}

std::string_view ReasonPhrase(std::uint32_t aStatus)
{
  switch (aStatus) {
#define DANDELION_PHRASE(number, name, phrase)                                                     \
  case number:                                                                                     \
    return #phrase;
    HTTP_STATUS_MAP(DANDELION_PHRASE)
#undef DANDELION_PHRASE
    default:
      return "";
  }
}

bool MayHaveBody(const std::string& aMethod, std::uint32_t aStatus)
{
  return aMethod != "HEAD" && aStatus >= kFirstFinalStatus && aStatus != kNoContent &&
         aStatus != kNotModified;
}

} // namespace dandelionstand::http
