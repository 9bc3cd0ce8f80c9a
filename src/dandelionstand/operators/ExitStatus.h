#ifndef dandelionstand_operators_ExitStatus_h
#define dandelionstand_operators_ExitStatus_h

namespace dandelionstand::operators {

//! Exit statuses of the operators' programs. They are stable; docs/operators/exit-status.md lists
//! them.
enum class ExitStatus
{
  kOk = 0,
  kFailed = 1,      //!< An error that has no status of its own.
  kUsage = 2,       //!< The command line has an error.
  kInvalid = 3,     //!< The configuration has findings; nothing of it was used.
  kLostRace = 4,    //!< Another publish changed a resource first.
  kUnavailable = 5, //!< The log or a daemon does not answer; nothing was published.
  kNotInForce = 6,  //!< Accepted, but not in force everywhere when the wait ended.
  kUnknown = 7,     //!< The record may have reached the log; ask for its id again.
  kDiffers = 8,     //!< `diff` found differences.
};

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_ExitStatus_h
