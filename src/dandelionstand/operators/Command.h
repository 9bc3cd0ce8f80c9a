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

//! Streams of a command. Results go to out_, findings and progress to err_.
struct Console
{
  std::istream& in_;
  std::ostream& out_;
  std::ostream& err_;
  bool isJson_ = false;
};

//! A subcommand of dandelionctl.
class Command
{
public:
  using Options = boost::program_options::options_description;
  using Values = boost::program_options::variables_map;

  virtual ~Command();

  virtual std::string Name() const = 0;
  //! Arguments of the command and a description, as printed after its name in the help text.
  virtual std::string Usage() const = 0;
  //! Name of the positional argument; empty if the command has none.
  virtual std::string PositionalName() const;
  virtual void AddOptions(Options& aOptions) const = 0;
  virtual ExitStatus Run(const Values& aValues, Console& aConsole) = 0;
};

//! Thrown on a command line error; the program exits with ExitStatus::kUsage.
class UsageError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

//! Returns the value of a required option. Throws UsageError if it is missing.
std::string RequiredValue(const Command::Values& aValues, const std::string& aOption);

//! Returns the value of a required option. Throws UsageError if it is missing or not an IP address
//! with a port.
common::Address RequiredAddress(const Command::Values& aValues, const std::string& aOption);

//! Reads and parses the document at aPath ("-" for standard input). Throws FindingsError if the
//! document has findings, UsageError if it cannot be read.
config::ConfigState ReadDocument(const std::string& aPath, Console& aConsole);

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_Command_h
