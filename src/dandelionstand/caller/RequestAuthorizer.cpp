#include "dandelionstand/caller/RequestAuthorizer.h"

#include "dandelionstand/common/HttpHeaders.h"
#include "dandelionstand/organisations/OrganisationTable.h"

#include <algorithm>
#include <vector>

namespace dandelionstand::caller {

namespace {

constexpr std::string_view kScheme = "Bearer ";

bool IsCredentials(const http::Header& aHeader)
{
  return common::EqualsIgnoringCase(aHeader.name_, "Authorization");
}

//! The key of `Bearer KEY`; empty for any other text.
std::string_view KeyOf(std::string_view aCredentials)
{
  const bool isBearer = aCredentials.size() > kScheme.size() &&
                        common::EqualsIgnoringCase(aCredentials.substr(0, kScheme.size()), kScheme);
  if (!isBearer) {
    return {};
  }
  const auto start = aCredentials.find_first_not_of(' ', kScheme.size());
  return start == std::string_view::npos ? std::string_view() : aCredentials.substr(start);
}

Authorization Check(const organisations::OrganisationTable& aTable, const http::Headers& aHeaders)
{
  const auto first = std::find_if(aHeaders.begin(), aHeaders.end(), IsCredentials);
  if (first == aHeaders.end()) {
    return { .fault_ = "no-key" };
  }
  if (std::find_if(first + 1, aHeaders.end(), IsCredentials) != aHeaders.end()) {
    return { .fault_ = "several-keys" };
  }
  const std::string_view key = KeyOf(first->value_);
  if (key.empty() || key.size() > organisations::OrganisationTable::kMaxKeyBytes) {
    return { .fault_ = "malformed-key" };
  }
  const organisations::KeyDigest digest = organisations::KeyDigest::Of(key);
  const organisations::Organisation* organisation = aTable.FindByKey(digest);
  if (organisation == nullptr) {
    return { .fault_ = "unknown-key" };
  }
  return { .organisation_ = organisation, .keyDigest_ = digest };
}

} // namespace

Authorization AuthorizeRequest(const config::ConfigState& aConfig,
                               const config::Route& aRoute,
                               http::Headers& aHeaders)
{
  if (!aConfig.organisations_) {
    return {};
  }
  Authorization authorization = Check(*aConfig.organisations_, aHeaders);
  std::erase_if(aHeaders, IsCredentials);
  if (aRoute.isPublic_) {
    authorization.fault_ = {};
  }
  return authorization;
}

} // namespace dandelionstand::caller
