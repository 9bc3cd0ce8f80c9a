//! Command-line tool for operators.

#include "dandelionstand/common/EventLog.h"
#include "dandelionstand/operators/CommandLine.h"

#include <exception>
#include <iostream>

int main(int argc, char** argv)
{
  using namespace dandelionstand;
  common::StartEventLog("dandelionctl", common::Severity::kError);
  operators::Console console{ std::cin, std::cout, std::cerr };
  try {
    return static_cast<int>(operators::RunCommandLine({ argv + 1, argv + argc }, console));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return static_cast<int>(operators::ExitStatus::kFailed);
  }
}
