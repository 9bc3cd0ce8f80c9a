#include "standins/ProgramMain.h"

#include <exception>
#include <iostream>

namespace dandelionstand::standins {

namespace options = boost::program_options;

namespace {

constexpr int kExitError = 1;
constexpr int kExitUsage = 2;

} // namespace

int RunProgram(int argc,
               char** argv,
               options::options_description aOptions,
               const std::function<void(const options::variables_map&)>& aRun)
{
  aOptions.add_options()("help", "print the options");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, aOptions), values);
    if (values.count("help") > 0) {
      std::cout << aOptions;
      return 0;
    }
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "event=usage_error reason=\"" << error.what() << "\"\n" << aOptions;
    return kExitUsage;
  }
  try {
    aRun(values);
  } catch (const std::exception& error) {
    std::cerr << "event=failed reason=\"" << error.what() << "\"\n";
    return kExitError;
  }
  return 0;
}

void PrintListeningAddress(const std::string& aAddress)
{
  std::cout << "event=listening address=" << aAddress << std::endl;
}

} // namespace dandelionstand::standins
