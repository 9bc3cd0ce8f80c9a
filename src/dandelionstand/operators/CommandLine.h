#ifndef dandelionstand_operators_CommandLine_h
#define dandelionstand_operators_CommandLine_h

#include "dandelionstand/operators/Command.h"

#include <string>
#include <vector>

namespace dandelionstand::operators {

//! Runs the subcommand named by the first argument. aArguments excludes the program name.
ExitStatus RunCommandLine(const std::vector<std::string>& aArguments, Console& aConsole);

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_CommandLine_h
