#ifndef dandelionstand_platform_PlatformDialect_h
#define dandelionstand_platform_PlatformDialect_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/dialect/CallerDialect.h"
#include "dandelionstand/dialect/TargetDialect.h"

namespace dandelionstand::platform {

//! Reads callers' requests and writes refusals with the platform's HTTP headers.
class PlatformCallerDialect : public dialect::CallerDialect
{
public:
  //! aService is the service on this instance; it is set as the caller service of every request.
  explicit PlatformCallerDialect(common::ServiceName aService);

  dialect::CallerRequest ParseRequest(http::Request aRequest) const override;
  void AddOrganisation(dialect::CallerRequest& aRequest,
                       const common::OrganisationName& aOrganisation) const override;
  http::ResponseHead WriteRefusal(const dialect::Refusal& aRefusal) const override;

private:
  common::ServiceName service_;
};

//! Writes requests to the target and judges its answers by the platform's HTTP headers.
class PlatformTargetDialect : public dialect::TargetDialect
{
public:
  http::Headers WriteHeaders(http::Headers aCallerHeaders,
                             const dialect::TargetCall& aCall) const override;
  dialect::AnswerVerdict ClassifyAnswer(const http::Headers& aSent,
                                        const http::ResponseHead& aAnswer) const override;
  dialect::TargetNotice ReadNotice(const http::ResponseHead& aAnswer) const override;
};

} // namespace dandelionstand::platform

#endif // dandelionstand_platform_PlatformDialect_h
