#ifndef dandelionstand_tests_integration_PlatformSite_h
#define dandelionstand_tests_integration_PlatformSite_h

#include "tests/support/Net.h"
#include "tests/support/Process.h"
#include "tests/support/TempDir.h"
#include "tests/support/Wait.h"

#include <future>
#include <memory>
#include <string>
#include <vector>

namespace dandelionstand::tests {

//! One machine of the users' platform: a daemon and the endpoint beside it.
struct PlatformMachine
{
  std::string name_;
  std::string failureDomain_;
  std::string service_;
  common::Address outbound_;
  common::Address control_;
  common::Address readiness_;
  common::Address admin_;
  common::Address peer_;
  common::Address application_;
  std::filesystem::path settings_;
  std::unique_ptr<Process> daemon_;
  std::unique_ptr<Process> endpoint_;
  int endpointStarts_ = 0;

  bool IsReady() const;
  //! Runs of requests at the endpoint, by request id.
  nlohmann::json Runs() const;
  void Control(const nlohmann::json& aControl) const;
};

//! A store, an operator and machines that speak the platform's protocols, as real processes. There
//! are two machines of service `one` and one of `two`, in two failure domains.
class PlatformSite
{
public:
  PlatformSite();

  PlatformMachine& operator[](std::size_t aIndex) { return machines_.at(aIndex); }
  std::size_t Size() const { return machines_.size(); }
  const common::Address& Store() const { return store_; }

  void StartDaemon(PlatformMachine& aMachine);
  //! Starts it with its log going to a file or pipe of the test's.
  void StartDaemon(PlatformMachine& aMachine, const std::filesystem::path& aLog);
  const std::filesystem::path& Folder() const { return folder_.Path(); }
  void StartEndpoint(PlatformMachine& aMachine);
  //! Writes a configuration in which the route /x/ leads to aService.
  void Publish(std::uint64_t aVersion, const std::string& aService);
  //! Waits until every machine knows the endpoints of all and serves a request of its own; prints
  //! all logs if one does not.
  bool WaitUntilServing();
  void ControlStore(const nlohmann::json& aControl) const;

private:
  void WriteSettings(PlatformMachine& aMachine) const;
  bool KnowsAllEndpoints(const PlatformMachine& aMachine) const;
  void PrintLogs();

  TempDir folder_;
  std::unique_ptr<Process> storeProcess_;
  common::Address store_;
  std::vector<PlatformMachine> machines_;
};

//! Sends a request to the route /x/ through the machine's daemon.
HttpReply Ask(const PlatformMachine& aMachine,
              const std::string& aId,
              const std::string& aMethod = "GET",
              int aDeadlineMs = 5'000);
std::future<HttpReply> AskLater(const PlatformMachine& aMachine,
                                const std::string& aId,
                                const std::string& aMethod = "GET",
                                int aDeadlineMs = 5'000);

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_integration_PlatformSite_h
