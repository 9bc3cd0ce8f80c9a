#ifndef dandelionstand_standins_ProgramMain_h
#define dandelionstand_standins_ProgramMain_h

#include <boost/program_options.hpp>

#include <functional>

namespace dandelionstand::standins {

//! Parses the command line and calls aRun; usage errors and exceptions go to standard error.
//! Returns the exit status: 0, 1 after an exception, 2 after a usage error.
int RunProgram(int argc,
               char** argv,
               boost::program_options::options_description aOptions,
               const std::function<void(const boost::program_options::variables_map&)>& aRun);

//! Prints `event=listening address=...` on standard output, where the parent process reads it.
void PrintListeningAddress(const std::string& aAddress);

} // namespace dandelionstand::standins

#endif // dandelionstand_standins_ProgramMain_h
