#ifndef dandelionstand_load_Demo_h
#define dandelionstand_load_Demo_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/load/Fleet.h"

#include <functional>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! End-to-end demonstration on one machine: publishes a configuration, waits until it is active on
//! every daemon, sends calls, drains one region, sends calls that other regions serve, and shows
//! the status.
class Demo
{
public:
  using Print = std::function<void(const std::string&)>;

  //! The settings and output of all processes and the load reports are written to aOutputFolder.
  Demo(common::EventLoop& aLoop,
       const TopologyShape& aShape,
       std::string aProgramFolder,
       std::string aOutputFolder,
       Print aPrint);

  //! Runs all steps; whether each succeeded and no load report found a broken promise.
  bool Run();

private:
  bool StartFleet();
  bool PublishConfiguration();
  bool CallThroughAllRegions();
  bool DrainLastRegion();
  bool CallFromLastRegion();
  bool ShowStatus();

  //! Runs a program, waits for it and prints its output; whether its exit status is 0.
  bool RunTool(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aOutputFile);
  bool RunLoad(const std::string& aName, const std::vector<std::string>& aArguments);
  std::vector<const InstancePlan*> InstancesOf(const common::Region& aRegion) const;

  common::EventLoop& loop_;
  std::string programFolder_;
  std::string outputFolder_;
  Print print_;
  Fleet fleet_;
  common::Region lastRegion_;
};

} // namespace dandelionstand::load

#endif // dandelionstand_load_Demo_h
