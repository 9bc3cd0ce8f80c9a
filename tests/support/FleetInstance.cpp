#include "tests/support/FleetInstance.h"

#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace dandelionstand::tests {

namespace {

// Keeps tests from waiting long for an admin endpoint that does not answer, such as a paused
// daemon's.
constexpr std::chrono::seconds kAdminTimeout(2);

std::string ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Process& RequireStarted(const std::unique_ptr<Process>& aProcess, const std::string& aName)
{
  if (!aProcess) {
    throw std::logic_error(aName + " was not started");
  }
  return *aProcess;
}

bool IsProcessRunning(const std::unique_ptr<Process>& aProcess)
{
  return aProcess && aProcess->IsRunning();
}

} // namespace

FleetInstance::FleetInstance(InstancePlan aPlan)
  : plan_(std::move(aPlan))
{
}

void FleetInstance::StartDaemon()
{
  if (IsProcessRunning(daemon_)) {
    return;
  }
  const std::filesystem::path settings = plan_.folder_ / (plan_.name_ + ".json");
  std::ofstream(settings) << plan_.settings_.dump(2) << "\n";
  daemon_.reset();
  daemon_ = std::make_unique<Process>(
    "dandelion-daemon", std::vector<std::string>{ "--settings", settings }, LogPath("daemon"));
}

void FleetInstance::StartTarget()
{
  if (plan_.service_.empty() || IsProcessRunning(target_)) {
    return;
  }
  std::vector<std::string> arguments = {
    "--listen",       plan_.addresses_.target_.Get(),
    "--service",      plan_.service_,
    "--daemon-admin", plan_.addresses_.admin_.Get(),
    "--run-file",     plan_.folder_ / (plan_.name_ + ".runs")
  };
  arguments.insert(arguments.end(), plan_.targetArguments_.begin(), plan_.targetArguments_.end());
  target_.reset();
  target_ = std::make_unique<Process>("standin-target", arguments, LogPath("target"));
}

bool FleetInstance::WaitForDaemon()
{
  return WaitUntil([this]() { return !IsProcessRunning(daemon_) || !Status().is_null(); }) &&
         IsProcessRunning(daemon_);
}

void FleetInstance::Kill()
{
  Daemon().Kill();
}

std::optional<ExitResult> FleetInstance::Terminate(std::chrono::milliseconds aTimeout)
{
  Daemon().Terminate();
  return Daemon().Wait(aTimeout);
}

void FleetInstance::Pause()
{
  Daemon().Pause();
}

void FleetInstance::Continue()
{
  Daemon().Continue();
}

bool FleetInstance::Restart()
{
  if (IsProcessRunning(daemon_)) {
    Kill();
  }
  StartDaemon();
  return WaitForDaemon();
}

bool FleetInstance::IsRunning() const
{
  return IsProcessRunning(daemon_);
}

Process& FleetInstance::Daemon()
{
  return RequireStarted(daemon_, "daemon of " + plan_.name_);
}

Process& FleetInstance::Target()
{
  return RequireStarted(target_, "target of " + plan_.name_);
}

void FleetInstance::KillTarget()
{
  Target().Kill();
}

std::optional<ExitResult> FleetInstance::TerminateTarget(std::chrono::milliseconds aTimeout)
{
  Target().Terminate();
  return Target().Wait(aTimeout);
}

HttpReply FleetInstance::Get(const std::string& aPathAndQuery, const RequestOptions& aOptions) const
{
  return HttpGet(plan_.addresses_.callers_, aPathAndQuery, aOptions);
}

HttpReply FleetInstance::Post(const std::string& aPathAndQuery,
                              const std::string& aBody,
                              const RequestOptions& aOptions) const
{
  return HttpPost(plan_.addresses_.callers_, aPathAndQuery, aBody, aOptions);
}

nlohmann::json FleetInstance::Admin(const std::string& aPath) const
{
  const HttpReply reply = HttpGet(plan_.addresses_.admin_, aPath, { .timeout_ = kAdminTimeout });
  return reply.status_ == 200 ? reply.Json() : nlohmann::json();
}

nlohmann::json FleetInstance::Dump() const
{
  return Admin("/dump");
}

nlohmann::json FleetInstance::Status() const
{
  return Admin("/status");
}

std::uint64_t FleetInstance::Metric(const std::string& aName) const
{
  const HttpReply reply =
    HttpGet(plan_.addresses_.admin_, "/metrics", { .timeout_ = kAdminTimeout });
  return ParseMetric(reply.body_, aName);
}

std::uint64_t FleetInstance::Version() const
{
  const nlohmann::json dump = Dump();
  return dump.is_null() ? 0 : dump.value("/config/version"_json_pointer, std::uint64_t{ 0 });
}

void FleetInstance::ControlTarget(const nlohmann::json& aControl) const
{
  PostJson(plan_.addresses_.target_, "/control", aControl);
}

nlohmann::json FleetInstance::TargetRuns() const
{
  return GetJson(plan_.addresses_.target_, "/runs");
}

nlohmann::json FleetInstance::TargetRunsByIdentity() const
{
  return GetJson(plan_.addresses_.target_, "/runs?by=identity");
}

std::uint64_t FleetInstance::TargetStat(const std::string& aName) const
{
  return GetJson(plan_.addresses_.target_, "/stats").at(aName).get<std::uint64_t>();
}

std::string FleetInstance::Log() const
{
  return ReadFile(LogPath("daemon"));
}

std::filesystem::path FleetInstance::LogPath(const std::string& aProcessName) const
{
  return plan_.folder_ / (plan_.name_ + "." + aProcessName + ".log");
}

} // namespace dandelionstand::tests
