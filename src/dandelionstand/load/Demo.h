#ifndef dandelionstand_load_Demo_h
#define dandelionstand_load_Demo_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/load/Fleet.h"

#include <functional>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! Shows the whole path on one machine: publish, in force everywhere, calls, drain, calls through
//! another region, status.
class Demo
{
public:
  using Print = std::function<void(const std::string&)>;

  //! aFolder takes the settings and output of all processes and the load reports.
  Demo(common::EventLoop& aLoop,
       const TopologyShape& aShape,
       std::string aPrograms,
       std::string aFolder,
       Print aPrint);

  //! Whether each step succeeded and every promise was kept.
  bool Run();

private:
  bool StartFleet();
  bool PublishConfiguration();
  bool CallThroughAllRegions();
  bool DrainLastRegion();
  bool CallFromLastRegion();
  bool ShowStatus();

  //! Runs a program to its end and prints its output; whether it exited with 0.
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
