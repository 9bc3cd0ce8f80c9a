#ifndef dandelionstand_caller_AnswerSink_h
#define dandelionstand_caller_AnswerSink_h

#include "dandelionstand/caller/CallerRequest.h"

#include <cstdint>
#include <string>

namespace dandelionstand::caller {

//! Receives the answer of a call: either a refusal, or a head followed by body parts and a finish.
//! An answer that cannot be completed is aborted.
class AnswerSink
{
public:
  virtual ~AnswerSink();

  virtual void SendHead(std::uint32_t aStatus, const Headers& aHeaders) = 0;
  virtual void SendBody(const std::string& aData) = 0;
  virtual void Finish() = 0;
  virtual void Refuse(const Refusal& aRefusal) = 0;
  virtual void Abort(const std::string& aReason) = 0;
};

} // namespace dandelionstand::caller

#endif // dandelionstand_caller_AnswerSink_h
