#ifndef dandelionstand_dialect_CallerDialect_h
#define dandelionstand_dialect_CallerDialect_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/dialect/CallerRequest.h"

namespace dandelionstand::dialect {

//! The HTTP conventions of callers: how their requests are parsed and refusals to them are written.
class CallerDialect
{
public:
  virtual ~CallerDialect();

  virtual CallerRequest ParseRequest(http::Request aRequest) const = 0;
  //! Adds the header that names the organisation to the target. A caller's own value of it has been
  //! removed by ParseRequest.
  virtual void AddOrganisation(CallerRequest& aRequest,
                               const common::OrganisationName& aOrganisation) const = 0;
  virtual http::ResponseHead WriteRefusal(const Refusal& aRefusal) const = 0;
};

} // namespace dandelionstand::dialect

#endif // dandelionstand_dialect_CallerDialect_h
