#ifndef dandelionstand_operators_CommandLine_h
#define dandelionstand_operators_CommandLine_h

#include "dandelionstand/operators/Command.h"

#include <string>
#include <vector>

namespace dandelionstand::operators {

//! Runs the subcommand that the arguments (without the program's name) ask for.
ExitStatus RunCommandLine(const std::vector<std::string>& aArguments, Console& aConsole);

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_CommandLine_h
