#ifndef dandelionstand_operators_DocumentCommands_h
#define dandelionstand_operators_DocumentCommands_h

#include "dandelionstand/operators/Command.h"

namespace dandelionstand::operators {

//! Validates a document and prints its findings.
class ValidateCommand : public Command
{
public:
  std::string Name() const override { return "validate"; }
  std::string Usage() const override;
  std::string PositionalName() const override { return "file"; }
  void AddOptions(Options& aOptions) const override;
  ExitStatus Run(const Values& aValues, Console& aConsole) override;
};

//! Prints the changes that publishing a document would make.
class DiffCommand : public Command
{
public:
  std::string Name() const override { return "diff"; }
  std::string Usage() const override;
  std::string PositionalName() const override { return "file"; }
  void AddOptions(Options& aOptions) const override;
  ExitStatus Run(const Values& aValues, Console& aConsole) override;
};

//! Prints the records in the log and the outcome of each.
class HistoryCommand : public Command
{
public:
  std::string Name() const override { return "history"; }
  std::string Usage() const override;
  void AddOptions(Options& aOptions) const override;
  ExitStatus Run(const Values& aValues, Console& aConsole) override;
};

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_DocumentCommands_h
