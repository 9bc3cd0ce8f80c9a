#ifndef dandelionstand_load_OrderAudit_h
#define dandelionstand_load_OrderAudit_h

#include "dandelionstand/load/AnswerCheck.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! What the caller of an order was told; an order that was sent several times has several outcomes.
struct OrderOutcome
{
  std::string idempotencyKey_;
  Verdict verdict_ = Verdict::kNoAnswer;
  RunState runState_ = RunState::kUnknown; //!< Meaningful if refused.
};

//! Runs of one order at one target.
struct OrderRuns
{
  std::string idempotencyKey_;
  std::uint64_t runs_ = 0;
};

//! Orders whose runs contradict what was promised.
struct OrderFaults
{
  std::vector<std::string> ranTwice_;
  std::vector<std::string> ranAfterNotRunRefusal_; //!< Refused as not run, yet run.
  std::vector<std::string> answeredWithoutRun_;    //!< Answered whole, yet no target counts a run.

  bool IsEmpty() const;
};

//! Sets what callers were told beside what the targets did.
class OrderAudit
{
public:
  void AddOutcome(const OrderOutcome& aOutcome);
  //! Adds one target's count; counts of several targets add up.
  void AddRuns(const OrderRuns& aRuns);
  //! Marks that a target's count could not be read, so a missing run proves nothing.
  void MarkIncomplete() { isComplete_ = false; }

  //! Distinct keys that were sent.
  std::uint64_t OrderCount() const { return orders_.size(); }
  std::uint64_t RunCount() const;
  bool IsComplete() const { return isComplete_; }
  OrderFaults FindFaults() const;

private:
  //! One key and everything that is known about it.
  struct Order
  {
    bool isEachNotRun_ = true; //!< Each outcome was a refusal as not run.
    bool isAnswered_ = false;  //!< An outcome was a whole answer.
  };

  std::uint64_t RunsOf(const std::string& aKey) const;

  std::map<std::string, Order> orders_;
  std::map<std::string, std::uint64_t> runs_;
  bool isComplete_ = true;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_OrderAudit_h
