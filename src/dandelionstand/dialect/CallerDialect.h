#ifndef dandelionstand_dialect_CallerDialect_h
#define dandelionstand_dialect_CallerDialect_h

#include "dandelionstand/dialect/CallerRequest.h"

namespace dandelionstand::dialect {

//! The HTTP conventions of callers: how their requests are parsed and refusals to them are written.
class CallerDialect
{
public:
  virtual ~CallerDialect();

  virtual CallerRequest ParseRequest(http::Request aRequest) const = 0;
  virtual http::ResponseHead WriteRefusal(const Refusal& aRefusal) const = 0;
};

} // namespace dandelionstand::dialect

#endif // dandelionstand_dialect_CallerDialect_h
