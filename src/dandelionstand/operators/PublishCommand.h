#ifndef dandelionstand_operators_PublishCommand_h
#define dandelionstand_operators_PublishCommand_h

#include "dandelionstand/operators/Command.h"
#include "dandelionstand/operators/Publisher.h"

namespace dandelionstand::operators {

//! Publishes a document and waits for the verdict. With --wait-in-force it also waits until the
//! version is active on all members.
class PublishCommand : public Command
{
public:
  std::string Name() const override { return "publish"; }
  std::string Usage() const override;
  std::string PositionalName() const override { return "file"; }
  void AddOptions(Options& aOptions) const override;
  ExitStatus Run(const Values& aValues, Console& aConsole) override;

private:
  static PublishRequest BuildRequest(const Values& aValues, Console& aConsole);
  static PublishOutcome Publish(const Values& aValues, PublishRequest aRequest, Console& aConsole);
  static bool WaitUntilActive(const Values& aValues, common::Version aVersion, Console& aConsole);
};

ExitStatus ExitStatusFor(PublishVerdict aVerdict);

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_PublishCommand_h
