#ifndef dandelionstand_operators_Command_h
#define dandelionstand_operators_Command_h

#include "dandelionstand/common/Findings.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/config/ConfigState.h"
#include "dandelionstand/operators/ExitStatus.h"

#include <boost/program_options.hpp>

#include <iosfwd>
#include <stdexcept>
#include <string>

namespace dandelionstand::operators {

//! Where a command writes: results to out_, findings and progress to err_.
struct Console
{
  std::istream& in_;
  std::ostream& out_;
  std::ostream& err_;
  bool isJson_ = false;
};

//! One subcommand of the operators' tool.
class Command
{
public:
  using Options = boost::program_options::options_description;
  using Values = boost::program_options::variables_map;

  virtual ~Command();

  virtual std::string Name() const = 0;
  //! What stands after the name on the command line, and what the command does.
  virtual std::string Usage() const = 0;
  //! The meaning of the one positional argument; empty if there is none.
  virtual std::string PositionalName() const;
  virtual void AddOptions(Options& aOptions) const = 0;
  virtual ExitStatus Run(const Values& aValues, Console& aConsole) = 0;
};

//! Thrown on an error of the command line; the program ends with kUsage.
class UsageError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

//! The value of an option that has to be given. Throws UsageError without it.
std::string RequiredValue(const Command::Values& aValues, const std::string& aOption);

//! The value of an option that has to be an IP number and a port. Throws UsageError if it is not.
common::Address RequiredAddress(const Command::Values& aValues, const std::string& aOption);

//! Reads and parses the document at a path ("-" is the standard input). Throws FindingsError.
config::ConfigState ReadDocument(const std::string& aPath, Console& aConsole);

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_Command_h
