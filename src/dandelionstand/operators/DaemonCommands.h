#ifndef dandelionstand_operators_DaemonCommands_h
#define dandelionstand_operators_DaemonCommands_h

#include "dandelionstand/operators/Command.h"

namespace dandelionstand::operators {

//! Prints the active versions by failure domain.
class StatusCommand : public Command
{
public:
  std::string Name() const override { return "status"; }
  std::string Usage() const override;
  void AddOptions(Options& aOptions) const override;
  ExitStatus Run(const Values& aValues, Console& aConsole) override;
};

//! Prints the complete state of one daemon.
class DumpCommand : public Command
{
public:
  std::string Name() const override { return "dump"; }
  std::string Usage() const override;
  void AddOptions(Options& aOptions) const override;
  ExitStatus Run(const Values& aValues, Console& aConsole) override;
};

//! Sets the minimum severity that one daemon logs.
class LogLevelCommand : public Command
{
public:
  std::string Name() const override { return "log-level"; }
  std::string Usage() const override;
  std::string PositionalName() const override { return "level"; }
  void AddOptions(Options& aOptions) const override;
  ExitStatus Run(const Values& aValues, Console& aConsole) override;
};

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_DaemonCommands_h
