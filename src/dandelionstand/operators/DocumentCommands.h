#ifndef dandelionstand_operators_DocumentCommands_h
#define dandelionstand_operators_DocumentCommands_h

#include "dandelionstand/operators/Command.h"

namespace dandelionstand::operators {

//! Checks a document and prints nothing but its findings.
class ValidateCommand : public Command
{
public:
  std::string Name() const override { return "validate"; }
  std::string Usage() const override;
  std::string PositionalName() const override { return "file"; }
  void AddOptions(Options& aOptions) const override;
  ExitStatus Run(const Values& aValues, Console& aConsole) override;
};

//! Prints what a publish of a document would change.
class DiffCommand : public Command
{
public:
  std::string Name() const override { return "diff"; }
  std::string Usage() const override;
  std::string PositionalName() const override { return "file"; }
  void AddOptions(Options& aOptions) const override;
  ExitStatus Run(const Values& aValues, Console& aConsole) override;
};

//! Prints the records that the log keeps and what became of each.
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
