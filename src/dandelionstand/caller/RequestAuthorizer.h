#ifndef dandelionstand_caller_RequestAuthorizer_h
#define dandelionstand_caller_RequestAuthorizer_h

#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/http/Message.h"
#include "dandelionstand/organisations/KeyDigest.h"
#include "dandelionstand/organisations/Organisation.h"

#include <optional>
#include <string>
#include <string_view>

namespace dandelionstand::caller {

//! What a request's credentials permit under one configuration.
struct Authorization
{
  //! Why the request must not be served, for logs and counters; empty if it may.
  std::string_view fault_;
  //! Owned by the configuration; null if the request has no key that is known.
  const organisations::Organisation* organisation_ = nullptr;
  std::optional<organisations::KeyDigest> keyDigest_; //!< Of a key that is known.
};

//! Decides whether a request may be served, and on behalf of which organisation. Removes the
//! credentials from the headers: targets never receive a key. Without organisations in the
//! configuration nothing is checked or removed.
Authorization AuthorizeRequest(const config::ConfigState& aConfig,
                               const config::Route& aRoute,
                               http::Headers& aHeaders);

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_RequestAuthorizer_h
