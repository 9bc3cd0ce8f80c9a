#ifndef dandelionstand_dialect_NativeDialect_h
#define dandelionstand_dialect_NativeDialect_h

#include "dandelionstand/dialect/CallerDialect.h"
#include "dandelionstand/dialect/TargetDialect.h"

namespace dandelionstand::dialect {

//! The caller dialect with dandelionstand's own headers, documented in docs/callers.md.
class NativeCallerDialect : public CallerDialect
{
public:
  CallerRequest ParseRequest(http::Request aRequest) const override;
  void AddOrganisation(CallerRequest& aRequest,
                       const common::OrganisationName& aOrganisation) const override;
  http::ResponseHead WriteRefusal(const Refusal& aRefusal) const override;
};

//! The target dialect with dandelionstand's own headers.
class NativeTargetDialect : public TargetDialect
{
public:
  http::Headers WriteHeaders(http::Headers aCallerHeaders, const TargetCall& aCall) const override;
  AnswerVerdict ClassifyAnswer(const http::Headers& aSent,
                               const http::ResponseHead& aAnswer) const override;
  //! The product's own interface has no such headers: its targets announce that they leave.
  TargetNotice ReadNotice(const http::ResponseHead& aAnswer) const override;
};

//! Parses a decimal number. Returns false unless the entire text is a number that fits.
bool ParseNumber(std::string_view aText, std::uint32_t& aNumber);

//! The caller's headers without the hop-by-hop ones, to be forwarded to the target.
http::Headers EndToEndHeaders(const http::Headers& aHeaders);

} // namespace dandelionstand::dialect

#endif // dandelionstand_dialect_NativeDialect_h
