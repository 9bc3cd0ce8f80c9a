#ifndef dandelionstand_dialect_NativeDialect_h
#define dandelionstand_dialect_NativeDialect_h

#include "dandelionstand/dialect/CallerDialect.h"
#include "dandelionstand/dialect/TargetDialect.h"

namespace dandelionstand::dialect {

//! The product's own headers; docs/callers.md describes them.
class NativeCallerDialect : public CallerDialect
{
public:
  CallerRequest ParseRequest(http::Request aRequest) const override;
  http::ResponseHead WriteRefusal(const Refusal& aRefusal) const override;
};

class NativeTargetDialect : public TargetDialect
{
public:
  http::Headers WriteHeaders(http::Headers aCallerHeaders, const TargetCall& aCall) const override;
  AnswerVerdict ClassifyAnswer(const http::Headers& aSent,
                               const http::ResponseHead& aAnswer) const override;
};

//! Reads a whole decimal number; false for anything else.
bool ParseNumber(std::string_view aText, std::uint32_t& aNumber);

//! The caller's headers that go on to the target.
http::Headers EndToEndHeaders(const http::Headers& aHeaders);

} // namespace dandelionstand::dialect

#endif // dandelionstand_dialect_NativeDialect_h
