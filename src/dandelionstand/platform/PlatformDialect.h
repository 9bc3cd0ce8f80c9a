#ifndef dandelionstand_platform_PlatformDialect_h
#define dandelionstand_platform_PlatformDialect_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/dialect/CallerDialect.h"
#include "dandelionstand/dialect/TargetDialect.h"

namespace dandelionstand::platform {

//! The headers that the platform's clients and endpoints speak, towards callers.
class PlatformCallerDialect : public dialect::CallerDialect
{
public:
  //! aService runs on this machine; every request that begins here is marked with it.
  explicit PlatformCallerDialect(common::ServiceName aService);

  dialect::CallerRequest Read(http::Request aRequest) const override;
  http::ResponseHead WriteRefusal(const dialect::Refusal& aRefusal) const override;

private:
  common::ServiceName service_;
};

//! The same towards the endpoint.
class PlatformTargetDialect : public dialect::TargetDialect
{
public:
  http::Headers WriteHeaders(http::Headers aCallerHeaders,
                             const dialect::TargetCall& aCall) const override;
  dialect::AnswerVerdict Judge(const http::Headers& aSent,
                               const http::ResponseHead& aAnswer) const override;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_PlatformDialect_h
