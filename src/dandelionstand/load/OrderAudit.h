#ifndef dandelionstand_load_OrderAudit_h
#define dandelionstand_load_OrderAudit_h

#include "dandelionstand/load/AnswerCheck.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! The outcome of one call of an order, as its caller saw it. An order that was sent several times
//! has several outcomes.
struct OrderOutcome
{
  std::string idempotencyKey_;
  Verdict verdict_ = Verdict::kNoAnswer;
  RunState runState_ = RunState::kUnknown; //!< Valid only for Verdict::kRefused.
};

//! How often one target ran an order.
struct OrderRuns
{
  std::string idempotencyKey_;
  std::uint64_t runs_ = 0;
};

//! Idempotency keys of orders whose runs contradict their outcomes.
struct OrderFaults
{
  std::vector<std::string> ranTwice_; //!< Run more than once, over all targets.
  //! Every call was refused as not run, but a target ran the order.
  std::vector<std::string> ranAfterNotRunRefusal_;
  std::vector<std::string> answeredWithoutRun_; //!< Answered, but run by no target.

  bool IsEmpty() const;
};

//! Compares the outcomes that callers saw with the runs that targets counted.
class OrderAudit
{
public:
  void AddOutcome(const OrderOutcome& aOutcome);
  //! Adds the count of one target; the counts of several targets are added up.
  void AddRuns(const OrderRuns& aRuns);
  //! Marks that the counts of a target could not be read. FindFaults() then reports no missing
  //! runs, because that target may have run the order.
  void MarkIncomplete() { isComplete_ = false; }

  //! Number of distinct idempotency keys that were sent.
  std::uint64_t OrderCount() const { return orders_.size(); }
  //! Total number of runs of these orders over all targets.
  std::uint64_t RunCount() const;
  bool IsComplete() const { return isComplete_; }
  OrderFaults FindFaults() const;

private:
  //! Summary of the outcomes of one idempotency key.
  struct Order
  {
    bool hasOnlyNotRunRefusals_ = true; //!< Each outcome was a refusal as not run.
    bool hasCompleteAnswer_ = false;    //!< At least one outcome was Verdict::kWhole.
  };

  std::uint64_t RunCountOf(const std::string& aKey) const;

  std::map<std::string, Order> orders_;
  std::map<std::string, std::uint64_t> runCounts_;
  bool isComplete_ = true;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_OrderAudit_h
