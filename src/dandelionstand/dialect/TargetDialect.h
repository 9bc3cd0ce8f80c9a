#ifndef dandelionstand_dialect_TargetDialect_h
#define dandelionstand_dialect_TargetDialect_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/http/Message.h"

#include <cstdint>
#include <string>

namespace dandelionstand::dialect {

//! What a request to a target says besides the caller's own headers.
struct TargetCall
{
  std::string authority_;        //!< Address of the target.
  std::string expectedInstance_; //!< The start of the target that the request is for; may be empty.
  common::Duration timeLeft_{};
  std::uint32_t depth_ = 0;
};

//! What a target's answer means for the request that it follows.
enum class AnswerVerdict
{
  kValid,        //!< The answer of the target, to be passed on.
  kOtherRequest, //!< It belongs to another request.
  kNotRun,       //!< The target says that it did not run the request.
  kWrongTarget,  //!< Not run, since another target has the address now.
  kInvalid,      //!< Not an answer that a sound target gives.
};

//! How requests to targets are written and their answers are judged.
class TargetDialect
{
public:
  virtual ~TargetDialect();

  //! The headers to send: the caller's, and those that the dialect adds.
  virtual http::Headers WriteHeaders(http::Headers aCallerHeaders,
                                     const TargetCall& aCall) const = 0;
  //! aSent are the headers of the request.
  virtual AnswerVerdict ClassifyAnswer(const http::Headers& aSent,
                                       const http::ResponseHead& aAnswer) const = 0;
};

} // namespace dandelionstand::dialect

#endif // dandelionstand_dialect_TargetDialect_h
