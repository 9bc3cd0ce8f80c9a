#ifndef dandelionstand_operators_ExitStatus_h
#define dandelionstand_operators_ExitStatus_h

namespace dandelionstand::operators {

//! Exit statuses of the operators' programs. The values are stable; docs/operators/exit-status.md
//! lists them.
enum class ExitStatus
{
  kOk = 0,
  kFailed = 1,      //!< Any error without a status of its own.
  kUsage = 2,       //!< The command line is invalid.
  kInvalid = 3,     //!< The configuration has findings; no part of it was applied.
  kLostRace = 4,    //!< Another publish changed one of the resources first.
  kUnavailable = 5, //!< The log or a daemon is unavailable; nothing was published.
  kNotInForce = 6,  //!< Accepted, but not active on all members when --wait-in-force ended.
  kUnknown = 7,     //!< The record may be in the log; publish again with the same --id.
  kDiffers = 8,     //!< `diff` found changes.
};

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_ExitStatus_h
