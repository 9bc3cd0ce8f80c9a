#ifndef dandelionstand_dialect_TargetDialect_h
#define dandelionstand_dialect_TargetDialect_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/dialect/TargetNotice.h"
#include "dandelionstand/http/Message.h"

#include <cstdint>
#include <string>

namespace dandelionstand::dialect {

//! What the dialect adds to the caller's headers in a request to a target.
struct TargetCall
{
  std::string authority_;            //!< Address of the target.
  std::string expectedInstance_;     //!< ID of the target incarnation addressed; may be empty.
  common::Duration remainingTime_{}; //!< Until the deadline.
  std::uint32_t depth_ = 0;          //!< Number of calls above this one in the call chain.
};

//! How an answer relates to the request that was sent before it on the connection.
enum class AnswerVerdict
{
  kValid,        //!< The target's answer to the request, to be forwarded.
  kOtherRequest, //!< The answer belongs to another request.
  kNotRun,       //!< The target states that it did not run the request.
  kWrongTarget,  //!< Not run, because another target now has the address.
  kInvalid,      //!< The answer violates the dialect.
};

//! The HTTP conventions of targets: how requests to them are written and answers are classified.
class TargetDialect
{
public:
  virtual ~TargetDialect();

  //! Returns the headers to send: the caller's, and those that the dialect adds.
  virtual http::Headers WriteHeaders(http::Headers aCallerHeaders,
                                     const TargetCall& aCall) const = 0;
  //! aSent are the headers of the request that aAnswer follows.
  virtual AnswerVerdict ClassifyAnswer(const http::Headers& aSent,
                                       const http::ResponseHead& aAnswer) const = 0;
  //! Reads what the target states about itself in an answer.
  virtual TargetNotice ReadNotice(const http::ResponseHead& aAnswer) const = 0;
};

} // namespace dandelionstand::dialect

#endif // dandelionstand_dialect_TargetDialect_h
