#include "dandelionstand/common/HttpHeaders.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace dandelionstand::common {

namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
};

//! Request headers that each hop generates itself instead of forwarding them.
constexpr std::array<std::string_view, 5> kRewritten = {
  "host", "content-length", "expect", "deadline-ms", "dandelion-depth",
};

template<typename Names>
bool Contains(const Names& aNames, std::string_view aName)
{
  return std::any_of(aNames.begin(), aNames.end(), [&](std::string_view aOther) {
    return EqualsIgnoringCase(aOther, aName);
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

bool IsListed(std::string_view aName, std::string_view aList)
{
  while (!aList.empty()) {
    const auto comma = std::min(aList.find(','), aList.size());
    if (EqualsIgnoringCase(Trim(aList.substr(0, comma)), aName)) {
      return true;
    }
    aList.remove_prefix(std::min(comma + 1, aList.size()));
  }
  return false;
}

} // namespace

bool IsEndToEndRequestHeader(std::string_view aName, std::string_view aConnection)
{
  return IsEndToEndResponseHeader(aName, aConnection) && !Contains(kRewritten, aName);
}

bool IsEndToEndResponseHeader(std::string_view aName, std::string_view aConnection)
{
  return !Contains(kHopByHop, aName) && !IsListed(aName, aConnection);
}

bool EqualsIgnoringCase(std::string_view aLhs, std::string_view aRhs)
{
  const auto areEqual = [](unsigned char aOne, unsigned char aOther) {
    return std::tolower(aOne) == std::tolower(aOther);
  };
  return std::equal(aLhs.begin(), aLhs.end(), aRhs.begin(), aRhs.end(), areEqual);
}

} // namespace dandelionstand::common
